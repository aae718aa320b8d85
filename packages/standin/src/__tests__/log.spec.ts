import { expect, test } from 'vitest';
import { startRole } from './startRole.js';

const append = (value: unknown) =>
  ['POST', '/streams/table/records', { records: [value] }] as const;

test('an append is read back from its offset', async () => {
  const log = await startRole('log');
  expect((await log.call(...append({ a: 1 }))).json).toEqual({ firstOffset: 0 });
  await log.call(...append({ a: 2 }));
  const page = await log.call('GET', '/streams/table/records?from=1');
  expect(page.json).toMatchObject({ records: [{ offset: 1, value: { a: 2 } }], headOffset: 2 });
});

test('an append whose response is lost takes effect', async () => {
  const log = await startRole('log');
  await log.call('POST', '/faults', { loseAppendAnswers: 1 });
  await expect(log.call(...append(1))).rejects.toThrow();
  expect((await log.call('GET', '/streams/table')).json.headOffset).toBe(1);
});

test('a late append becomes visible later', async () => {
  const log = await startRole('log');
  await log.call('POST', '/faults', { lateAppends: 1, lateMs: 50 });
  await expect(log.call(...append(1))).rejects.toThrow();
  const page = await log.call('GET', '/streams/table/records?from=0&waitMs=5000');
  expect(page.json.records).toHaveLength(1);
});

test('nothing is appended in an outage or above the append limit', async () => {
  const log = await startRole('log');
  await log.call('POST', '/faults', { outage: true });
  expect((await log.call(...append(1))).status).toBe(503);
  await log.call('POST', '/faults', { outage: false, appendsPerSecond: 1 });
  const statuses = [await log.call(...append(1)), await log.call(...append(2))];
  expect(statuses.map((answer) => answer.status)).toEqual([200, 429]);
  expect((await log.call('GET', '/streams/table')).json.headOffset).toBe(1);
});

test('reading a trimmed offset returns 410', async () => {
  const log = await startRole('log');
  await log.call('POST', '/streams/table/records', { records: [1, 2, 3] });
  await log.call('POST', '/faults', { trimBefore: 2 });
  const trimmed = await log.call('GET', '/streams/table/records?from=0');
  expect([trimmed.status, trimmed.json.firstOffset]).toEqual([410, 2]);
});

test('an unknown fault is rejected', async () => {
  const log = await startRole('log');
  expect((await log.call('POST', '/faults', { outag: true })).status).toBe(400);
});
