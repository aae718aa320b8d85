import { request } from 'undici';
import { createRefusal } from '@goldcrestscale/core';
import { AttemptRunner } from '../dispatch/attempt.js';
import type { Attempt } from '../dispatch/attempt.js';

/**
 * Faulty reference runner: it relays any response without a check of attempt id, weight version or
 * end marker, and reports every failure as `not-run`. The tests must detect it.
 */
export class UncheckedRunner extends AttemptRunner {
  override async run(attempt: Attempt): Promise<void> {
    const { exchange, upstream } = attempt;
    const { target } = exchange;
    try {
      const response = await request(`http://${upstream.address}${target.path}`, {
        method: exchange.method as 'POST',
        headers: { 'x-attempt-id': attempt.attemptId },
        body: exchange.body.length > 0 ? exchange.body : null,
        signal: attempt.signal,
      });
      exchange.response.writeHead(response.statusCode, {
        'content-type': String(response.headers['content-type']),
      });
      for await (const chunk of response.body) await exchange.response.write(chunk as Buffer);
    } catch {
      if (!exchange.response.isHeadSent) {
        throw createRefusal('failed', { code: 'upstream_failed', status: 502, retryAfterMs: 1 });
      }
    }
    exchange.response.finish();
  }
}
