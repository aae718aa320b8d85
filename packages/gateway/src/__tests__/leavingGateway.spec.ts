import { setTimeout as pause } from 'node:timers/promises';
import { expect, test, vi } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';
import { buildRequestHead, connectRawCaller } from './rawCaller.js';

const respond = ({ id, socket }: TestRequest): void => {
  socket.write(buildResponse(200, { 'x-id': id, 'x-sig': 's' }, `answer-${id}`));
};

const NO_BODY = 'content-length: 0';

const countCloses = (received: string): number =>
  received.match(/connection: close/gi)?.length ?? 0;

// Guards against pipelined requests that are lost, because an earlier response closes the connection.
test('pipelined requests are all answered when the VM leaves', async () => {
  const requests: TestRequest[] = [];
  let isLeaving = false;
  const { port } = await startGateway({
    upstreams: [(request) => requests.push(request)],
    isLeaving: () => isLeaving,
  });
  const caller = connectRawCaller(port);
  ['one', 'two', 'three'].forEach((id) => caller.socket.write(buildRequestHead(id, NO_BODY)));
  await vi.waitUntil(() => requests.length === 3);
  isLeaving = true;
  for (const id of ['two', 'one', 'three']) {
    respond(requests.find((request) => request.id === id)!);
    await pause(30);
  }
  await caller.waitFor('answer-three');
  expect(caller.read()).toMatch(/answer-one.*answer-two.*answer-three/s);
  expect(countCloses(caller.read())).toBe(1);
});

// Guards against a request that runs although its connection is about to close without a response.
test('a request behind the last response of a connection is not sent to an upstream', async () => {
  const requests: TestRequest[] = [];
  const { port } = await startGateway({
    upstreams: [(request) => requests.push(request)],
    isLeaving: () => true,
  });
  const caller = connectRawCaller(port);
  ['one', 'two'].forEach((id) => caller.socket.write(buildRequestHead(id, NO_BODY)));
  await vi.waitUntil(() => requests.length === 2);
  respond(requests.find(({ id }) => id === 'two')!);
  await pause(50);
  caller.socket.write(buildRequestHead('three', NO_BODY));
  await pause(50);
  respond(requests.find(({ id }) => id === 'one')!);
  await caller.waitFor('answer-two');
  await pause(50);
  expect(requests.map(({ id }) => id).sort()).toEqual(['one', 'two']);
});

// Guards against a refusal that its caller can't read, because unread bytes reset the connection.
test('a caller that is refused inside its body by a leaving VM reads the refusal', async () => {
  const { port, upstreams } = await startGateway({
    upstreams: [respond],
    isLeaving: () => true,
    isRefusing: () => true,
  });
  const caller = connectRawCaller(port);
  caller.socket.write(`${buildRequestHead('late', 'content-length: 900')}${'x'.repeat(400)}`);
  await caller.waitFor('shutting_down');
  caller.socket.write('x'.repeat(500));
  await pause(50);
  caller.socket.write(buildRequestHead('next', NO_BODY));
  await vi.waitUntil(() => caller.read().split('shutting_down').length === 3);
  expect(countCloses(caller.read())).toBe(1);
  expect(upstreams[0]!.received).toHaveLength(0);
});
