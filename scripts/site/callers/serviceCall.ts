import { request } from 'undici';
import type { AttemptResult } from './attemptResult.js';
import { parseErrorBody, toFailure } from './errorBody.js';

/** One call of a plain service. */
export interface ServiceCall {
  readonly entryUrl: string;
  readonly apiKey: string;
  readonly service: string;
  readonly method: 'GET' | 'POST';
  readonly path: string;
  readonly body?: unknown;
  readonly idempotencyKey?: string;
  readonly timeoutMs: number;
}

/** Calls a plain service through an entry VM and tells how it ended. */
export const callService = async (call: ServiceCall): Promise<AttemptResult> => {
  const startMs = performance.now();
  try {
    const answer = await request(`${call.entryUrl}/v1/services/${call.service}${call.path}`, {
      method: call.method,
      headers: {
        'content-type': 'application/json',
        authorization: `Bearer ${call.apiKey}`,
        ...(call.idempotencyKey && { 'idempotency-key': call.idempotencyKey }),
      },
      ...(call.body !== undefined && { body: JSON.stringify(call.body) }),
      signal: AbortSignal.timeout(call.timeoutMs),
    });
    const text = await answer.body.text();
    if (answer.statusCode >= 300) return parseErrorBody(answer.statusCode, text);
    const firstTokenMs = performance.now() - startMs;
    const { statusCode: status } = answer;
    return { type: 'whole', status, text, firstTokenMs, promptTokens: 0, cachedTokens: 0 };
  } catch (cause) {
    return toFailure(cause, 0);
  }
};
