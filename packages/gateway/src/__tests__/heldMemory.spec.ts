import { test, vi } from 'vitest';
import { startGateway } from './gatewayHarness.js';

const KILOBYTE = 1_000;

const BUFFER_BYTES = 1_000 * KILOBYTE;

const RESPONSE_BYTES = 900 * KILOBYTE;

const buildResponseHead = (id: string): string =>
  ['HTTP/1.1 200 OK', `x-id: ${id}`, 'x-sig: s', `content-length: ${RESPONSE_BYTES}`, '', ''].join(
    '\r\n',
  );

// Guards against a process that is killed because upstreams are slow with the ends of large responses.
test('responses that are held until they are whole count against the memory', async () => {
  const { call, budget } = await startGateway({
    upstreams: [
      ({ id, socket }) => {
        socket.write(buildResponseHead(id) + 'x'.repeat(RESPONSE_BYTES - 1));
      },
    ],
    bufferBytes: BUFFER_BYTES,
  });
  const controller = new AbortController();
  const reply = call({ signal: controller.signal }).catch(() => undefined);
  await vi.waitUntil(() => budget.heldBytes >= RESPONSE_BYTES - 1, { timeout: 3_000 });
  controller.abort();
  await reply;
});
