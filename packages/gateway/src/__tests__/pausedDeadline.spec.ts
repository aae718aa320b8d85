import { expect, test, vi } from 'vitest';
import { buildChunk, buildHead, buildResponse } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const TIMEOUT_MS = 600;

const blockEventLoop = (durationMs: number): void => {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
};

// Guards against an answer that is thrown away unread, because the deadline passed while the VM stood still.
test('an answer that came before a pause is passed on, although its deadline passed in it', async () => {
  const { call } = await startGateway({
    route: { idempotent: false, maxUpstreams: 1, timeoutMs: TIMEOUT_MS },
    upstreams: [
      ({ id, socket }) => {
        setTimeout(() => {
          // Timers are the first that runs after the phase of immediates.
          setImmediate(() => {
            socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
            blockEventLoop(TIMEOUT_MS);
          });
        }, TIMEOUT_MS / 2);
      },
    ],
  });
  expect((await call()).status).toBe(200);
});

// Guards against sound upstreams that are ejected because this VM has no memory for their answers.
test('a lack of memory of this VM is no failure of the upstream', async () => {
  const { call, fleetState } = await startGateway({
    route: { streaming: true, resumable: true, idempotent: true, maxUpstreams: 1 },
    upstreams: [
      ({ id, socket }) => {
        const headers = { 'x-id': id, 'x-sig': 's', 'transfer-encoding': 'chunked' };
        socket.write(buildHead(200, headers) + buildChunk(`id: 1\ndata: ${'x'.repeat(5_000)}`));
      },
    ],
    bufferBytes: 1_000,
  });
  const recordOutcome = vi.spyOn(fleetState.ejection, 'recordOutcome');
  expect((await call()).isWhole).toBe(false);
  expect(recordOutcome.mock.calls.at(-1)?.[1]).toBe('neutral');
});
