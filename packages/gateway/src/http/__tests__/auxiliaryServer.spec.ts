import { once } from 'node:events';
import { request as sendRequest } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, onTestFinished, test } from 'vitest';
import {
  AnnouncedRates,
  CONSECUTIVE_FAILURES_TO_OPEN,
  CappedEjectionPolicy,
  CrashQuarantine,
  FleetRateLimits,
  createRandomGenerator,
  toId,
} from '@goldcrestscale/core';
import type { ModelId, PromptPartId, QuarantineRow, UpstreamId, VmId } from '@goldcrestscale/core';
import { createTestFaults } from '../../__tests__/testFaults.js';
import { TestCallerProtocol } from '../../__tests__/testProtocols.js';
import { createAuxiliaryServer } from '../auxiliaryServer.js';
import type { OperatedState } from '../auxiliaryServer.js';

const startServer = async (operated: OperatedState | undefined): Promise<number> => {
  const server = createAuxiliaryServer({
    onClose: () => undefined,
    protocol: new TestCallerProtocol(),
    isReady: () => true,
    listAddresses: undefined,
    ttlMs: 1_000,
    renderMetrics: () => Promise.resolve(''),
    operated,
    faults: createTestFaults().faults,
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  onTestFinished(() => {
    server.closeAllConnections();
    server.close();
  });
  return (server.address() as AddressInfo).port;
};

const call = (
  port: number,
  method: string,
  path: string,
): Promise<{ readonly status: number; readonly body: string }> =>
  new Promise((resolve, reject) => {
    const request = sendRequest({ port, method, path, host: '127.0.0.1', agent: false });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () =>
        resolve({ status: response.statusCode ?? 0, body: Buffer.concat(chunks).toString() }),
      );
    });
    request.end();
  });

const createOperatedState = (): OperatedState => {
  const quarantine = new CrashQuarantine();
  const parts = ['poison', 'own'].map((id) => ({ id: toId<PromptPartId>(id), tokens: 1 }));
  const prompt = { model: toId<ModelId>('m'), inputTokens: 1, maxOutputTokens: 1, parts };
  quarantine.recordCrash(
    { prompt, account: undefined },
    { upstreamId: toId<UpstreamId>('up'), startedAtMs: 1 },
  );
  const rates = new AnnouncedRates();
  rates.record({ upstreamId: toId<UpstreamId>('limited'), startedAtMs: 1 }, 2.2);
  const rateLimits = new FleetRateLimits({
    self: toId<VmId>('vm'),
    rates,
    listServing: () => [],
    sendPermitRequest: () => undefined,
  });
  const ejection = new CappedEjectionPolicy(createRandomGenerator(1));
  const ids = ['faulty', 'sound'].map((id) => toId<UpstreamId>(id));
  ids.forEach((id) => ejection.setGroup(id, 'service'));
  for (let count = 0; count < CONSECUTIVE_FAILURES_TO_OPEN; count += 1)
    ejection.recordOutcome(ids[0]!, 'failure');
  return { quarantine, rateLimits, ejection };
};

test('operators list the suspected prompt parts and lift a refusal', async () => {
  const port = await startServer(createOperatedState());
  const list = async (): Promise<readonly QuarantineRow[]> =>
    JSON.parse((await call(port, 'GET', '/quarantine')).body) as readonly QuarantineRow[];
  const [row] = await list();
  expect(row).toMatchObject({ label: 'poison', crashes: [{ upstreamId: 'up' }] });
  expect((await call(port, 'DELETE', '/quarantine/unknown')).status).toBe(404);
  expect((await call(port, 'DELETE', `/quarantine/${row!.digest}`)).status).toBe(204);
  expect((await list())[0]?.crashes).toEqual([]);
});

test('operators list the rate limits in force', async () => {
  const port = await startServer(createOperatedState());
  const limits: unknown = JSON.parse((await call(port, 'GET', '/rate-limits')).body);
  expect(limits).toMatchObject([
    { upstreamId: 'limited', requestsPerSecond: 2.2, granters: ['vm'], grants: {} },
  ]);
});

test('operators list the ejected upstreams', async () => {
  const port = await startServer(createOperatedState());
  const ejected: unknown = JSON.parse((await call(port, 'GET', '/ejections')).body);
  expect(ejected).toMatchObject([
    {
      upstreamId: 'faulty',
      group: 'service',
      state: 'open',
      reason: 'consecutive failures',
      consecutiveFailures: CONSECUTIVE_FAILURES_TO_OPEN,
      failedProbes: 0,
    },
  ]);
});

// Guards against callers that lift a refusal through the addresses that they can reach.
test('the servers of the directory and the readiness checks lift nothing', async () => {
  const port = await startServer(undefined);
  expect((await call(port, 'GET', '/quarantine')).status).toBe(404);
  expect((await call(port, 'DELETE', '/quarantine/any')).status).toBe(404);
});

// Guards against connections that hold descriptors for as long as they like, because they never send a head.
test.each(['', 'GET / HT'])('a connection that sends %j is closed in time', async (text) => {
  const port = await startServer(undefined);
  const socket = connect(port, '127.0.0.1');
  onTestFinished(() => {
    socket.destroy();
  });
  socket.resume();
  socket.write(text);
  const startedAtMs = performance.now();
  await once(socket, 'close');
  expect(performance.now() - startedAtMs).toBeLessThan(5_000);
});

// Guards against readiness checks that fail because the VM stood still when they came.
test('a check that came during a pause is answered', async () => {
  const port = await startServer(undefined);
  const socket = connect(port, '127.0.0.1');
  onTestFinished(() => {
    socket.destroy();
  });
  await once(socket, 'connect');
  await sleep(100);
  // Timers are the first that runs after the phase of immediates.
  await new Promise(setImmediate);
  socket.write('GET /metrics HTTP/1.1\r\nhost: a\r\n\r\n');
  const endMs = performance.now() + 4_000;
  while (performance.now() < endMs);
  const [answer] = (await once(socket, 'data')) as [Buffer];
  expect(answer.toString()).toMatch(/^HTTP\/1\.1 200 /);
});
