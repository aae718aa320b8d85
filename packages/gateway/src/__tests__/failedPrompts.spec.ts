import { expect, test, vi } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { UpstreamId } from '@goldcrestscale/core';
import { buildResponse } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const UPSTREAM_ID = toId<UpstreamId>('up-0');

/** Sends long prompts to one engine; gives what the gateway has learned from its answers. */
const learnFromAnswers = async (status: number) => {
  const { call, chooser, fleetState } = await startGateway({
    route: { carriesPrompt: true, maxUpstreams: 1 },
    upstreams: [
      ({ id, socket }) =>
        socket.write(buildResponse(status, { 'x-id': id, 'x-sig': 's' }, 'answer')),
    ],
  });
  const recordSent = vi.spyOn(fleetState.sentParts, 'recordSent');
  const initialRate = chooser.prefillRate.tokensPerMs;
  for (let count = 0; count < 3; count += 1) {
    const headers = { 'x-model': 'm', 'x-parts': 'session', 'x-tokens': '100000' };
    expect((await call({ headers })).status).toBe(status);
  }
  const [key] = recordSent.mock.calls[0]!;
  return {
    hasSampledRate: chooser.prefillRate.tokensPerMs !== initialRate,
    isCached: fleetState.sentParts.has(key, UPSTREAM_ID),
  };
};

test('an answered prompt tells the prefill rate and is cached where it was sent', async () => {
  expect(await learnFromAnswers(200)).toEqual({ hasSampledRate: true, isCached: true });
});

// Guards against engines that look faster, or have more cached, with each prompt that they fail.
test('a failed prompt tells no prefill rate and is cached nowhere', async () => {
  expect(await learnFromAnswers(500)).toEqual({ hasSampledRate: false, isCached: false });
});
