import { request } from 'undici';
import { createRefusal } from '@goldcrestscale/core';
import { AttemptRunner } from '../dispatch/attempt.js';
import type { Attempt } from '../dispatch/attempt.js';

/** Relays whatever comes: checks neither id, version nor end, and calls every failure `not-run`. */
export class NaiveRunner extends AttemptRunner {
  override async run(attempt: Attempt): Promise<void> {
    const { exchange, upstream } = attempt;
    const { target } = exchange;
    try {
      const answer = await request(`http://${upstream.address}${target.path}`, {
        method: exchange.method as 'POST',
        headers: { 'x-attempt-id': attempt.attemptId },
        body: exchange.body.length > 0 ? exchange.body : null,
        signal: attempt.signal,
      });
      exchange.answer.writeHead(answer.statusCode, {
        'content-type': String(answer.headers['content-type']),
      });
      for await (const chunk of answer.body) await exchange.answer.write(chunk as Buffer);
    } catch {
      if (!exchange.answer.headSent) {
        throw createRefusal('failed', { code: 'upstream_failed', status: 502, retryAfterMs: 1 });
      }
    }
    exchange.answer.finish();
  }
}
