import { request as sendRequest } from 'node:http';
import { onTestFinished } from 'vitest';
import { FakeUpstream } from './fakeUpstream.js';
import type { TestRequest } from './fakeUpstream.js';
import { createTestGateway } from './testGateway.js';
import type { TestGatewayOptions } from './testGateway.js';

/** The response as the caller received it. */
export interface CallerReply {
  readonly status: number;
  readonly headers: Readonly<Record<string, unknown>>;
  readonly body: string;
  /** Whether the response was complete. */
  readonly isWhole: boolean;
}

/** Options of a test request. */
export interface TestCall {
  readonly path?: string;
  readonly method?: string;
  readonly headers?: Readonly<Record<string, string>>;
  readonly body?: string;
  readonly signal?: AbortSignal;
}

/** Options of the test gateway and its upstreams. */
export interface HarnessOptions extends Omit<TestGatewayOptions, 'addresses'> {
  /** The request handler of each upstream. */
  readonly upstreams: readonly ((request: TestRequest) => void)[];
  /** Bytes of a body after which the upstreams respond, before the end of the request. */
  readonly answersAfterBytes?: number;
  /** Number of upstreams in the log whose addresses nobody serves. */
  readonly deadUpstreams?: number;
}

/** Only root may listen on it, and nothing does. */
const RESERVED_PORT = 1;

let lastId = 0;

/** Sends a request to a gateway's port. */
export const sendCall = (port: number, call: TestCall): Promise<CallerReply> =>
  new Promise((resolve, reject) => {
    lastId += 1;
    const request = sendRequest({
      port,
      host: '127.0.0.1',
      method: call.method ?? 'POST',
      path: call.path ?? '/a/1',
      headers: { host: 'site.example', 'x-id': `id-${lastId}`, ...call.headers },
      agent: false,
      ...(call.signal ? { signal: call.signal } : {}),
    });
    request.on('error', reject);
    request.on('response', (response) => {
      const chunks: Buffer[] = [];
      const finish = (isWhole: boolean): void =>
        resolve({
          status: response.statusCode ?? 0,
          headers: response.headers,
          body: Buffer.concat(chunks).toString(),
          isWhole,
        });
      response.on('data', (chunk: Buffer) => chunks.push(chunk));
      response.on('end', () => finish(response.complete));
      response.on('error', () => finish(false));
    });
    request.end(call.body ?? '');
  });

/** Lists addresses that refuse connections; no test can listen on their port, as on one that was free. */
export const listDeadAddresses = (count: number): readonly string[] =>
  Array.from({ length: count }, (_item, index) => `127.0.0.${index + 1}:${RESERVED_PORT}`);

/** Starts a gateway with scripted upstreams; closes everything when the test ends. */
export const startGateway = async (options: HarnessOptions) => {
  const upstreams = options.upstreams.map(
    (handleRequest) => new FakeUpstream(handleRequest, options.answersAfterBytes),
  );
  const soundAddresses = await Promise.all(upstreams.map((upstream) => upstream.listen()));
  const deadAddresses = listDeadAddresses(options.deadUpstreams ?? 0);
  const addresses = [...deadAddresses, ...soundAddresses];
  const gateway = await createTestGateway({ ...options, addresses });
  onTestFinished(() => {
    gateway.close();
    upstreams.forEach((upstream) => upstream.close());
  });
  const { port, chooser, fleetState, operators, metrics, budget, applyLimits } = gateway;
  return {
    port,
    call: (call: TestCall = {}) => sendCall(port, call),
    upstreams,
    chooser,
    deadAddresses,
    fleetState,
    operators,
    metrics,
    budget,
    applyLimits,
  };
};
