import { request as sendRequest } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { once } from 'node:events';
import { expect, test } from 'vitest';
import { buildResponse } from './fakeUpstream.js';
import { startGateway } from './gatewayHarness.js';

/** More fields than Node keeps of a head by default. */
const FIELD_COUNT = 1_500;

const listFields = (): readonly (readonly [string, string])[] =>
  Array.from({ length: FIELD_COUNT }, (_item, index) => [`x-${index}`, '1'] as const);

const startSigned = (fields: Readonly<Record<string, string>>) =>
  startGateway({
    upstreams: [
      ({ id, socket }) => {
        socket.write(buildResponse(200, { ...fields, 'x-id': id, 'x-sig': 's' }, 'fine'));
      },
    ],
  });

// Guards against requests that lose the fields behind the first thousand, such as their id.
test('a request keeps its last field behind many others', async () => {
  const { port } = await startSigned({});
  const request = sendRequest({
    port,
    path: '/a/1',
    agent: false,
    headers: ['host', 'site.example', ...listFields().flat(), 'x-id', 'last'],
  });
  request.end();
  const [response] = (await once(request, 'response')) as [IncomingMessage];
  response.resume();
  expect(response.statusCode).toBe(200);
});

// Guards against responses of upstreams that lose what proves them.
test('a response keeps its last field behind many others', async () => {
  const { call } = await startSigned(Object.fromEntries(listFields()));
  expect((await call()).status).toBe(200);
});
