import { createHash } from 'node:crypto';
import { afterEach, beforeEach, expect, test, vi } from 'vitest';
import { toId } from '../../ids.js';
import type { BlockKey, UpstreamId } from '../../ids.js';
import { BlockReader } from '../blockReader.js';
import type { BlockSource } from '../blockReader.js';
import { BlockReclaimer } from '../blockReclaimer.js';
import type { BlockContent, BlockState, BlockStatus, StoredBlock } from '../blockFingerprint.js';
import { BLOCK_READ_TIMEOUT_MS, TOMBSTONE_GRACE_MS } from '../constants.js';
import { VerifyingBlockReader } from '../verifyingBlockReader.js';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const READ_MS = 1000;
const { signal } = new AbortController();
const hash = (bytes: Uint8Array) => createHash('sha256').update(bytes).digest('hex');
const wait = (ms: number) =>
  new Promise<void>((resolve) => {
    setTimeout(resolve, ms);
  });

interface StoredSlot {
  bytes: Uint8Array;
  generation: number;
  state: BlockState;
}

/** Store VM that returns the first half of the bytes as of now and the second half as of later. */
class FakeStore implements BlockSource {
  readonly slots = new Map<string, StoredSlot>();

  incarnation = 'i1';

  readMs = READ_MS;

  put(text: string, generation: number, state: BlockState = 'committed'): StoredBlock {
    const bytes = Buffer.from(text);
    this.slots.set('n', { bytes, generation, state });
    return {
      key: toId<BlockKey>('k'),
      storeId: toId<UpstreamId>('s'),
      name: 'n',
      length: bytes.length,
      checksum: hash(bytes),
      generation,
      incarnation: this.incarnation,
    };
  }

  async read(block: StoredBlock): Promise<BlockContent> {
    const first = this.slots.get(block.name)!;
    const { generation } = first;
    const { incarnation } = this;
    const half = first.bytes.subarray(0, first.bytes.length / 2);
    await wait(this.readMs);
    const rest = this.slots.get(block.name)?.bytes.subarray(half.length) ?? Buffer.alloc(0);
    const bytes = Buffer.concat([half, rest]);
    return {
      bytes,
      fingerprint: { length: bytes.length, checksum: hash(bytes), generation, incarnation },
    };
  }

  async fetchStatus(block: StoredBlock): Promise<BlockStatus | undefined> {
    await wait(1);
    const slot = this.slots.get(block.name);
    if (!slot) return undefined;
    const { bytes, generation, state } = slot;
    return {
      length: bytes.length,
      checksum: hash(bytes),
      generation,
      state,
      incarnation: this.incarnation,
    };
  }

  restart(): void {
    this.incarnation = 'i2';
  }

  truncateBytes(): void {
    this.slots.get('n')!.bytes = Buffer.from('aaaa');
  }

  async markFreed(): Promise<void> {
    await wait(1);
    this.slots.get('n')!.state = 'freed';
  }

  async delete(): Promise<void> {
    await wait(1);
    this.slots.delete('n');
  }
}

/** Checks the state only before the read and does not verify the bytes. */
class NaiveBlockReader extends BlockReader {
  override async read(block: StoredBlock, readSignal: AbortSignal): Promise<Uint8Array> {
    const status = await this.source.fetchStatus(block, readSignal);
    if (status?.state !== 'committed') throw new Error('not committed');
    return (await this.source.read(block, readSignal)).bytes;
  }
}

type Failure = (store: FakeStore) => StoredBlock;

const failures: [string, Failure][] = [
  [
    'store killed during a write',
    (store) => {
      const block = store.put('aaaabbbb', 1);
      store.truncateBytes();
      store.restart();
      return block;
    },
  ],
  [
    'freed and reused during a slow read',
    (store) => {
      const block = store.put('aaaabbbb', 1);
      setTimeout(() => store.put('ccccdddd', 2), READ_MS / 2);
      return block;
    },
  ],
  [
    'freed and reused before the read',
    (store) => {
      const block = store.put('aaaabbbb', 1);
      store.put('aaaaxxxx', 2);
      return block;
    },
  ],
  [
    'restarted with a stale manifest',
    (store) => {
      const block = store.put('aaaabbbb', 2);
      store.restart();
      store.put('oldoldol', 1);
      return block;
    },
  ],
  [
    'deleted during the read',
    (store) => {
      const block = store.put('aaaabbbb', 1);
      setTimeout(() => store.slots.delete('n'), READ_MS / 2);
      return block;
    },
  ],
];

/** Returns whether a reader returns bytes that differ from the committed ones. */
const checkReturnsWrongBytes = async (
  create: (store: FakeStore) => BlockReader,
  failure: Failure,
) => {
  const store = new FakeStore();
  const block = failure(store);
  const reading = create(store)
    .read(block, signal)
    .catch(() => undefined);
  await vi.advanceTimersByTimeAsync(READ_MS * 2);
  const bytes = await reading;
  return bytes !== undefined && hash(bytes) !== block.checksum;
};

test.each(failures)(
  '%s: rejected, and accepted by a reader without verification',
  async (_name, failure) => {
    expect(await checkReturnsWrongBytes((store) => new VerifyingBlockReader(store), failure)).toBe(
      false,
    );
    expect(await checkReturnsWrongBytes((store) => new NaiveBlockReader(store), failure)).toBe(
      true,
    );
  },
);

test('an intact block is read', async () => {
  const store = new FakeStore();
  const reading = new VerifyingBlockReader(store).read(store.put('aaaabbbb', 1), signal);
  await vi.advanceTimersByTimeAsync(READ_MS * 2);
  expect(Buffer.from(await reading).toString()).toBe('aaaabbbb');
});

test('after a store restart, blocks are rejected until the manifest is applied', async () => {
  const store = new FakeStore();
  const block = store.put('aaaabbbb', 1);
  store.restart();
  const reading = new VerifyingBlockReader(store)
    .read(block, signal)
    .catch((error: unknown) => error);
  await vi.advanceTimersByTimeAsync(READ_MS * 2);
  expect(await reading).toMatchObject({ fault: 'incarnation' });
});

test('reads of a freed block end before its grace period', async () => {
  const store = new FakeStore();
  store.readMs = TOMBSTONE_GRACE_MS * 2;
  const block = store.put('aaaabbbb', 1);
  const reading = new VerifyingBlockReader(store).read(block, signal).then(
    () => 'read',
    () => 'rejected',
  );
  const reclaimer = new BlockReclaimer(store);
  const released = reclaimer.release(block, signal);
  await vi.advanceTimersByTimeAsync(TOMBSTONE_GRACE_MS - 1);
  await Promise.all([released, reclaimer.sweep(signal)]);
  await vi.advanceTimersByTimeAsync(1);
  expect(store.slots.has('n')).toBe(true);
  await vi.advanceTimersByTimeAsync(10);
  const swept = reclaimer.sweep(signal);
  await vi.advanceTimersByTimeAsync(10);
  await swept;
  expect([store.slots.has('n'), reclaimer.pending]).toEqual([false, 0]);
  await vi.advanceTimersByTimeAsync(TOMBSTONE_GRACE_MS * 2);
  expect(await reading).toBe('rejected');
  expect(BLOCK_READ_TIMEOUT_MS).toBeLessThan(TOMBSTONE_GRACE_MS);
});
