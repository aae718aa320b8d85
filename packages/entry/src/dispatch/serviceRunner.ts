import type { UpstreamAnswer, UpstreamClient } from '../upstream/upstreamClient.js';
import { createAttemptError } from '../upstream/upstreamError.js';
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

const readWhole = async (answer: UpstreamAnswer): Promise<Buffer> => {
  try {
    return Buffer.from(await answer.body.arrayBuffer());
  } catch {
    throw createAttemptError('The service cut its answer short.', 'may-have-run');
  }
};

/** Sends a call to a plain service and relays its answer once it is whole. */
export class ServiceRunner extends AttemptRunner {
  constructor(private readonly client: UpstreamClient) {
    super();
  }

  override async run(attempt: Attempt): Promise<void> {
    const { exchange, upstream } = attempt;
    if (exchange.target.kind !== 'service') throw new TypeError('not a service call');
    const answer = await this.client.send(upstream, {
      attemptId: attempt.attemptId,
      method: exchange.method,
      path: exchange.target.path,
      headers: selectHeaders(attempt),
      ...(exchange.body.length > 0 ? { body: exchange.body } : {}),
      signal: attempt.signal,
      echoesAttempt: false,
      beginSend: attempt.beginSend,
    });
    const body = await readWhole(answer);
    // Another attempt at the same look-up may have answered while the body came in.
    if (attempt.signal.aborted) throw createAttemptError('The call was cancelled.', 'may-have-run');
    attempt.onFirstByte();
    exchange.verdict = 'ran';
    exchange.answer.writeHead(answer.status, {
      'content-type': String(answer.headers['content-type'] ?? 'application/octet-stream'),
      'content-length': String(body.length),
      'x-request-id': exchange.requestId,
      'x-goldcrest-verdict': 'ran',
    });
    await exchange.answer.write(body);
    exchange.answer.finish();
  }
}
