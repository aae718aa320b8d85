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
import { createAccountSecret, createPromptBlocks } from '../promptBlocks.js';
import { CacheEventFeed } from '../cacheEventFeed.js';
import type { CacheEvent } from '../cacheEventFeed.js';
import { BLOCK_BYTES } from '../constants.js';
import { createIndexOwnership } from '../indexOwnership.js';
import { PrefixIndex } from '../prefixIndex.js';

const upstreamA = toId<UpstreamId>('a');
const upstreamB = toId<UpstreamId>('b');
const boot = (name: string) => toId<BootId>(name);

const createBlocks = (account: string, seed: number, count: number) =>
  createPromptBlocks({
    accountSecret: createAccountSecret('fleet', toId<ClientAccountId>(account)),
    model: toId<ModelId>('m'),
    weightVersion: toId<WeightVersion>('v1'),
    prompt: Buffer.alloc(count * BLOCK_BYTES, `${seed}.`),
  });
const blocks = createBlocks('yard', 1, 6);
const keys = blocks.map((block) => block.key);
const countLeading = (index: PrefixIndex, upstreamId: UpstreamId) =>
  index.findHolders(blocks).find((held) => held.upstreamId === upstreamId)?.leadingCount ?? 0;

test('finds leading blocks and blocks after a gap', () => {
  const index = new PrefixIndex();
  index.addBlocks(upstreamA, keys.slice(0, 3));
  index.addBlocks(upstreamB, [keys[0]!, keys[2]!]);
  const held = index.findHolders(blocks);
  expect(held.map((h) => [h.upstreamId, h.leadingCount, h.positions])).toEqual([
    [upstreamA, 3, [0, 1, 2]],
    [upstreamB, 1, [0, 2]],
  ]);
});

test('late, reordered and duplicated events converge to the true state', () => {
  const pages = fc.array(fc.array(fc.nat(19), { minLength: 1, maxLength: 6 }), { maxLength: 30 });
  const changes = fc.array(fc.tuple(fc.boolean(), fc.nat(5)), { minLength: 20, maxLength: 20 });
  const property = fc.property(changes, pages, (list, noise) => {
    const events = list.map<CacheEvent>(([stored, i], seq) => ({
      seq,
      type: stored ? 'stored' : 'evicted',
      keys: [keys[i]!],
    }));
    const expectedKeys = new Set<BlockKey>();
    events.forEach((e) =>
      e.keys.forEach((k) => (e.type === 'stored' ? expectedKeys.add(k) : expectedKeys.delete(k))),
    );
    const index = new PrefixIndex();
    const feed = new CacheEventFeed(index);
    for (const page of noise) {
      const from = feed.getNextSeq(upstreamA);
      // At most one stale page per poll: the retry of a gap must return the missing events.
      feed.applyPage(upstreamA, {
        bootId: boot('1'),
        events: page.map((i) => events[i]!).filter((e) => e.seq <= from),
      });
    }
    feed.applyPage(upstreamA, {
      bootId: boot('1'),
      events: events.slice(feed.getNextSeq(upstreamA)),
    });
    for (const block of blocks) {
      expect(index.findHolders([block]).length === 1).toBe(expectedKeys.has(block.key));
    }
  });
  fc.assert(property, { seed: 1, numRuns: 100 });
});

test('a gap is retried once, then lowers the accuracy', () => {
  const index = new PrefixIndex();
  const feed = new CacheEventFeed(index);
  const late: CacheEvent = { seq: 2, type: 'stored', keys };
  expect(feed.applyPage(upstreamA, { bootId: boot('1'), events: [late] })).toEqual({
    kind: 'gap',
    nextSeq: 0,
  });
  expect(index.size).toBe(0);
  expect(feed.applyPage(upstreamA, { bootId: boot('1'), events: [late] })).toEqual({
    kind: 'applied',
    nextSeq: 3,
  });
  expect(index.getAccuracy(upstreamA)).toBeLessThan(1);
});

test('a new boot clears entries, pages of the old boot are discarded', () => {
  const index = new PrefixIndex();
  const feed = new CacheEventFeed(index);
  const events: CacheEvent[] = [{ seq: 0, type: 'stored', keys }];
  feed.applyPage(upstreamA, { bootId: boot('1'), events });
  expect(countLeading(index, upstreamA)).toBe(6);
  feed.updateBoot(upstreamA, boot('2'));
  expect(countLeading(index, upstreamA)).toBe(0);
  expect(feed.applyPage(upstreamA, { bootId: boot('1'), events }).kind).toBe('outdated');
  expect(countLeading(index, upstreamA)).toBe(0);
});

test('usage reports correct the accuracy and the entries', () => {
  const index = new PrefixIndex();
  index.addBlocks(upstreamA, keys);
  for (let i = 0; i < 30; i += 1) index.recordUsage(upstreamA, blocks, 0, 6144);
  expect(index.getAccuracy(upstreamA)).toBeLessThan(0.1);
  index.recordUsage(upstreamB, blocks, 0, 0);
  expect(countLeading(index, upstreamB)).toBe(6);
});

test('size is bounded, and a large account does not evict a small one', () => {
  const index = new PrefixIndex({ maxLocations: 2000 });
  index.addBlocks(upstreamA, keys);
  for (let i = 0; i < 100; i += 1) {
    index.addBlocks(
      upstreamA,
      createBlocks('large', i, 100).map((block) => block.key),
    );
  }
  expect(index.size).toBeLessThanOrEqual(2000);
  expect(countLeading(index, upstreamA)).toBe(6);
});

test('a location takes less than 60 bytes', () => {
  const index = new PrefixIndex();
  for (let i = 0; i < 10; i += 1) {
    index.addBlocks(
      upstreamA,
      createBlocks('yard', i, 2000).map((block) => block.key),
    );
    expect(index.bytes / index.size).toBeLessThan(60);
  }
});

test('each key has three owners, evenly spread, that change only with their members', () => {
  const members = Array.from({ length: 30 }, (_, i) => toId<VmId>(`vm-${i}`));
  const all = createIndexOwnership(members);
  const less = createIndexOwnership(members.slice(1));
  const counts = new Map<VmId, number>();
  for (let i = 0; i < 600; i += 1) {
    const { key } = createBlocks('yard', i, 1)[0]!;
    const owners = all.pickOwners(key);
    expect(new Set(owners).size).toBe(3);
    owners.forEach((vm) => counts.set(vm, (counts.get(vm) ?? 0) + 1));
    if (!owners.includes(members[0]!)) expect(less.pickOwners(key)).toEqual(owners);
  }
  expect(counts.size).toBe(30);
  expect(Math.max(...counts.values())).toBeLessThan(100);
});
