import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as pause } from 'node:timers/promises';
import { expect, onTestFinished, test } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

const respond = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, 'fine'));
};

// Guards against requests that are taken late in a shutdown and cut at its end.
test('a request whose body comes near the end of a shutdown is not sent', async () => {
  let isRefusing = false;
  const { port, upstreams } = await startGateway({
    isRefusing: () => isRefusing,
    upstreams: [respond],
  });
  const caller = connect(port, '127.0.0.1');
  onTestFinished(() => {
    caller.destroy();
  });
  caller.write(
    'POST /a/1 HTTP/1.1\r\nhost: site.example\r\nx-id: a\r\ncontent-length: 4\r\n\r\nbo',
  );
  await pause(50);
  isRefusing = true;
  caller.write('dy');
  const [reply] = (await once(caller, 'data')) as [Buffer];
  expect(reply.toString()).toMatch(/^HTTP\/1\.1 503 /);
  expect(upstreams[0]!.received).toEqual([]);
});
