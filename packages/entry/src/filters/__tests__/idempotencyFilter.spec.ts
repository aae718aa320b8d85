import { expect, test } from 'vitest';
import { IdempotencyGuard, createIdempotencyKey, toId } from '@goldcrestscale/core';
import type { ClientAccountRow, ClaimResult, ExecutionOutcome } from '@goldcrestscale/core';
import type { Exchange } from '../exchange.js';
import { createIdempotencyFilter } from '../idempotencyFilter.js';

class AlwaysRunGuard extends IdempotencyGuard {
  readonly outcomes: ExecutionOutcome[] = [];

  override claim(): Promise<ClaimResult> {
    const permit = {
      begin: () => true,
      finish: (outcome: ExecutionOutcome) => this.outcomes.push(outcome),
      release: () => undefined,
    };
    return Promise.resolve({ type: 'run', permit });
  }
}

const createExchange = (signal: AbortSignal): Exchange =>
  ({
    method: 'POST',
    headers: { 'idempotency-key': createIdempotencyKey(Date.now()) },
    body: Buffer.from('{}'),
    target: { kind: 'service', service: 'office', path: '/tickets' },
    account: { id: toId('yard') } as ClientAccountRow,
    response: {
      isHeadSent: false,
      writeHead: () => undefined,
      write: () => Promise.resolve(),
      finish: () => undefined,
    },
    signal,
    isIdempotent: false,
    verdict: 'not-run',
  }) as unknown as Exchange;

test('stores the complete outcome if the caller disconnects during the run', async () => {
  const guard = new AlwaysRunGuard();
  const caller = new AbortController();
  const exchange = createExchange(caller.signal);
  await createIdempotencyFilter({ guard }).handle(exchange, async () => {
    caller.abort();
    expect(exchange.signal.aborted).toBe(false);
    exchange.response.writeHead(201, {});
    await exchange.response.write('ticket');
    exchange.response.finish();
  });
  expect(guard.outcomes).toMatchObject([
    {
      verdict: 'ran',
      answer: { status: 201, bodyBase64: Buffer.from('ticket').toString('base64') },
    },
  ]);
});
