import fc from 'fast-check';
import { expect, test } from 'vitest';
import { isNonIdempotentCall, serviceRowSchema } from '../index.js';

const row = serviceRowSchema.parse({
  kind: 'service',
  id: 'yard',
  unrepeatable: [{ method: 'POST', pathPrefix: '/tickets' }],
});

test.each([
  ['POST', '/tickets', true],
  ['post', '/tickets/', true],
  ['POST', '/tickets/17/void?x=1', true],
  ['POST', '//tickets', true],
  ['POST', '/lookups/../tickets', true],
  ['POST', '/%74ickets', true],
  ['POST', '/lookups/%2e%2e/tickets', true],
  ['POST', '/Tickets', true],
  ['POST', 'tickets', true],
  ['POST', '/%', true],
  ['GET', '/tickets/17', false],
  ['POST', '/ticketsearch', false],
  ['POST', '/lookups', false],
])('%s %s', (method, path, expected) => {
  expect(isNonIdempotentCall(row, method, path)).toBe(expected);
});

test('matching never throws for any path', () => {
  const property = fc.property(fc.string({ unit: 'binary' }), (path) => {
    expect(typeof isNonIdempotentCall(row, 'POST', path)).toBe('boolean');
  });
  fc.assert(property, { seed: 1, numRuns: 2_000 });
});
