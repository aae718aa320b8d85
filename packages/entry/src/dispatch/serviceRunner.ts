import type { UpstreamResponse, UpstreamClient } from '../upstream/upstreamClient.js';
import { ResponseBodyError } from '../upstream/responseBodyError.js';
import { ResponseBodyReader } from '../upstream/responseBodyReader.js';
import { createAttemptError, createMemoryError } from '../upstream/upstreamErrors.js';
import { AttemptRunner } from './attempt.js';
import type { Attempt } from './attempt.js';

const FORWARDED_HEADERS = ['content-type', 'accept', 'idempotency-key'] as const;

const selectHeaders = (attempt: Attempt): Record<string, string> => {
  const headers: Record<string, string> = { 'x-request-id': attempt.exchange.requestId };
  for (const name of FORWARDED_HEADERS) {
    const value = attempt.exchange.headers[name];
    if (typeof value === 'string') headers[name] = value;
  }
  return headers;
};

const readCompleteBody = async (
  reader: ResponseBodyReader,
  response: UpstreamResponse,
): Promise<Buffer> => {
  try {
    return await reader.read(response.body);
  } catch (cause) {
    if (cause instanceof ResponseBodyError && cause.reason === 'no memory') {
      throw createMemoryError(cause, 'upstream_failed');
    }
    throw createAttemptError('The service cut its answer short.', 'may-have-run');
  }
};

/** Sends a request to a plain service and relays the response once its body is complete. */
export class ServiceRunner extends AttemptRunner {
  constructor(private readonly client: UpstreamClient) {
    super();
  }

  override async run(attempt: Attempt): Promise<void> {
    const reader = new ResponseBodyReader(this.client.memory);
    try {
      await this.relay(attempt, reader);
    } finally {
      reader.release();
    }
  }

  private async relay(attempt: Attempt, reader: ResponseBodyReader): Promise<void> {
    const { exchange, upstream } = attempt;
    if (exchange.target.kind !== 'service') throw new TypeError('the target is not a service');
    const response = await this.client.send(upstream, {
      attemptId: attempt.attemptId,
      method: exchange.method,
      path: exchange.target.path,
      headers: selectHeaders(attempt),
      ...(exchange.body.length > 0 ? { body: exchange.body } : {}),
      signal: attempt.signal,
      requiresAttemptIdEcho: false,
      onBeforeSend: attempt.onBeforeSend,
    });
    const body = await readCompleteBody(reader, response);
    // A hedged attempt may have responded while this body was being read.
    if (attempt.signal.aborted) throw createAttemptError('The call was cancelled.', 'may-have-run');
    attempt.onFirstByte();
    exchange.verdict = 'ran';
    exchange.response.writeHead(response.status, {
      'content-type': String(response.headers['content-type'] ?? 'application/octet-stream'),
      'content-length': String(body.length),
      'x-request-id': exchange.requestId,
      'x-goldcrest-verdict': 'ran',
    });
    await exchange.response.write(body);
    exchange.response.finish();
  }
}
