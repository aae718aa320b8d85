import type { Socket } from 'node:net';
import { expect, onTestFinished, test } from 'vitest';
import { callService, startHarness } from './entryHarness.js';
import { buildRawResponse, startRawService } from './rawService.js';

const RUN_MS = 30;

const REFUSAL = buildRawResponse('HTTP/1.1 503 Busy', ['x-not-run: true'], '');

const SUCCESS = buildRawResponse('HTTP/1.1 200 OK', [], '{}');

// Guards against a refusal that was written once more on a kept connection: the request runs, and would run twice.
test('a repeated refusal is no proof that the next request has not run', async () => {
  let runs = 0;
  const refusedOn = new Set<Socket>();
  // The service refuses its first call, and writes that refusal once more when it runs the next one.
  const address = await startRawService(({ socket }) => {
    const isFirst = refusedOn.size === 0;
    if (isFirst || refusedOn.has(socket)) socket.write(REFUSAL);
    refusedOn.add(socket);
    if (isFirst) return;
    runs += 1;
    setTimeout(() => socket.write(SUCCESS), RUN_MS);
  });
  const harness = await startHarness({ upstreams: [address] });
  onTestFinished(() => harness.close());
  await callService(harness, 'POST');
  const response = await callService(harness, 'POST');
  expect(response.status).toBe(200);
  expect(runs).toBeLessThanOrEqual(2);
});
