import fc from 'fast-check';
import { expect, test } from 'vitest';
import { toId } from '../../ids.js';
import type {
  BlockKey,
  BootId,
  ClientAccountId,
  ModelId,
  UpstreamId,
  VmId,
  WeightVersion,
} from '../../ids.js';
import { createAccountSecret, createBlockChain } from '../blockChain.js';
import { CacheEventFeed } from '../cacheEvents.js';
import type { CacheEvent } from '../cacheEvents.js';
import { BLOCK_BYTES } from '../constants.js';
import { createIndexOwnership } from '../ownership.js';
import { PrefixIndex } from '../prefixIndex.js';

const a = toId<UpstreamId>('a');
const b = toId<UpstreamId>('b');
const boot = (name: string) => toId<BootId>(name);

const createChain = (account: string, seed: number, count: number) =>
  createBlockChain({
    accountSecret: createAccountSecret('fleet', toId<ClientAccountId>(account)),
    model: toId<ModelId>('m'),
    weightVersion: toId<WeightVersion>('v1'),
    prompt: Buffer.alloc(count * BLOCK_BYTES, `${seed}.`),
  });
const chain = createChain('yard', 1, 6);
const keys = chain.map((block) => block.key);
const getLeading = (index: PrefixIndex, upstreamId: UpstreamId) =>
  index.findHolders(chain).find((held) => held.upstreamId === upstreamId)?.leading ?? 0;

test('finds leading blocks and later ones', () => {
  const index = new PrefixIndex();
  index.addBlocks(a, keys.slice(0, 3));
  index.addBlocks(b, [keys[0]!, keys[2]!]);
  const held = index.findHolders(chain);
  expect(held.map((h) => [h.upstreamId, h.leading, h.positions])).toEqual([
    [a, 3, [0, 1, 2]],
    [b, 1, [0, 2]],
  ]);
});

test('late, crossed and doubled events end in the true state', () => {
  const pages = fc.array(fc.array(fc.nat(19), { minLength: 1, maxLength: 6 }), { maxLength: 30 });
  const changes = fc.array(fc.tuple(fc.boolean(), fc.nat(5)), { minLength: 20, maxLength: 20 });
  const property = fc.property(changes, pages, (list, noise) => {
    const events = list.map<CacheEvent>(([stored, i], seq) => ({
      seq,
      type: stored ? 'stored' : 'evicted',
      keys: [keys[i]!],
    }));
    const truth = new Set<BlockKey>();
    events.forEach((e) =>
      e.keys.forEach((k) => (e.type === 'stored' ? truth.add(k) : truth.delete(k))),
    );
    const index = new PrefixIndex();
    const feed = new CacheEventFeed(index);
    for (const page of noise) {
      const from = feed.getNextSeq(a);
      // Only one late answer an ask: a gap is filled by asking again before it is given up.
      feed.applyPage(a, {
        bootId: boot('1'),
        events: page.map((i) => events[i]!).filter((e) => e.seq <= from),
      });
    }
    feed.applyPage(a, { bootId: boot('1'), events: events.slice(feed.getNextSeq(a)) });
    for (const block of chain) {
      expect(index.findHolders([block]).length === 1).toBe(truth.has(block.key));
    }
  });
  fc.assert(property, { seed: 1, numRuns: 100 });
});

test('gap is asked for once, then distrusted', () => {
  const index = new PrefixIndex();
  const feed = new CacheEventFeed(index);
  const late: CacheEvent = { seq: 2, type: 'stored', keys };
  expect(feed.applyPage(a, { bootId: boot('1'), events: [late] })).toEqual({
    kind: 'gap',
    nextSeq: 0,
  });
  expect(index.size).toBe(0);
  expect(feed.applyPage(a, { bootId: boot('1'), events: [late] })).toEqual({
    kind: 'applied',
    nextSeq: 3,
  });
  expect(index.getTrust(a)).toBeLessThan(1);
});

test('new boot clears, page of the old boot is discarded', () => {
  const index = new PrefixIndex();
  const feed = new CacheEventFeed(index);
  const events: CacheEvent[] = [{ seq: 0, type: 'stored', keys }];
  feed.applyPage(a, { bootId: boot('1'), events });
  expect(getLeading(index, a)).toBe(6);
  feed.noteBoot(a, boot('2'));
  expect(getLeading(index, a)).toBe(0);
  expect(feed.applyPage(a, { bootId: boot('1'), events }).kind).toBe('outdated');
  expect(getLeading(index, a)).toBe(0);
});

test('usage corrects trust and entries', () => {
  const index = new PrefixIndex();
  index.addBlocks(a, keys);
  for (let i = 0; i < 30; i += 1) index.learnUsage(a, chain, 0, 6144);
  expect(index.getTrust(a)).toBeLessThan(0.1);
  index.learnUsage(b, chain, 0, 0);
  expect(getLeading(index, b)).toBe(6);
});

test('bounded, small account outlives a large one', () => {
  const index = new PrefixIndex({ maxLocations: 2000 });
  index.addBlocks(a, keys);
  for (let i = 0; i < 100; i += 1) {
    index.addBlocks(
      a,
      createChain('large', i, 100).map((block) => block.key),
    );
  }
  expect(index.size).toBeLessThanOrEqual(2000);
  expect(getLeading(index, a)).toBe(6);
});

test('under 60 bytes a location', () => {
  const index = new PrefixIndex();
  for (let i = 0; i < 10; i += 1) {
    index.addBlocks(
      a,
      createChain('yard', i, 2000).map((block) => block.key),
    );
    expect(index.bytes / index.size).toBeLessThan(60);
  }
});

test('owners: three, spread, moved only with their member', () => {
  const members = Array.from({ length: 30 }, (_, i) => toId<VmId>(`vm-${i}`));
  const all = createIndexOwnership(members);
  const less = createIndexOwnership(members.slice(1));
  const counts = new Map<VmId, number>();
  for (let i = 0; i < 600; i += 1) {
    const { key } = createChain('yard', i, 1)[0]!;
    const owners = all.pickOwners(key);
    expect(new Set(owners).size).toBe(3);
    owners.forEach((vm) => counts.set(vm, (counts.get(vm) ?? 0) + 1));
    if (!owners.includes(members[0]!)) expect(less.pickOwners(key)).toEqual(owners);
  }
  expect(counts.size).toBe(30);
  expect(Math.max(...counts.values())).toBeLessThan(100);
});
