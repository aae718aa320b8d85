import { expect, test } from 'vitest';
import { OnceGuard, createOnceKey, toId } from '@goldcrestscale/core';
import type { ClientAccountRow, OnceClaim, RunOutcome } from '@goldcrestscale/core';
import type { Exchange } from '../exchange.js';
import { createOnceFilter } from '../onceFilter.js';

class GrantingGuard extends OnceGuard {
  readonly outcomes: RunOutcome[] = [];

  override claim(): Promise<OnceClaim> {
    const permit = {
      begin: () => true,
      finish: (outcome: RunOutcome) => this.outcomes.push(outcome),
      release: () => undefined,
    };
    return Promise.resolve({ type: 'run', permit });
  }
}

const createExchange = (signal: AbortSignal): Exchange =>
  ({
    method: 'POST',
    headers: { 'idempotency-key': createOnceKey(Date.now()) },
    body: Buffer.from('{}'),
    target: { kind: 'service', service: 'office', path: '/tickets' },
    account: { id: toId('yard') } as ClientAccountRow,
    answer: {
      headSent: false,
      writeHead: () => undefined,
      write: () => Promise.resolve(),
      finish: () => undefined,
    },
    signal,
    idempotent: false,
    verdict: 'not-run',
  }) as unknown as Exchange;

test('a caller that goes during the run leaves the outcome whole', async () => {
  const guard = new GrantingGuard();
  const caller = new AbortController();
  const exchange = createExchange(caller.signal);
  await createOnceFilter({ guard }).handle(exchange, async () => {
    caller.abort();
    expect(exchange.signal.aborted).toBe(false);
    exchange.answer.writeHead(201, {});
    await exchange.answer.write('ticket');
    exchange.answer.finish();
  });
  expect(guard.outcomes).toMatchObject([
    {
      verdict: 'ran',
      answer: { status: 201, bodyBase64: Buffer.from('ticket').toString('base64') },
    },
  ]);
});
