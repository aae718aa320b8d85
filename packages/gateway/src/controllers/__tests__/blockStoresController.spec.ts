import { afterEach, beforeEach, expect, onTestFinished, test, vi } from 'vitest';
import { BlockDirectory, FetchWindow, OperatorState, toId } from '@goldcrestscale/core';
import type { AvailabilityZoneId } from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import type { BlockEvents, BlockEventsQuery } from '../../ports/index.js';
import { TestUpstreamProtocol } from '../../__tests__/testProtocols.js';
import type { RelayedBlocks } from '../../mesh/feedMessage.js';
import { BlockStoresController } from '../blockStoresController.js';

const ADDRESS = '127.0.0.1:1';

/** Number of events of the store. */
const END_OFFSET = 3_000;

const POLL_MS = 100;

/** A store whose every event adds a block. */
class StoreProtocol extends TestUpstreamProtocol {
  readonly queries: number[] = [];

  epoch = 1;

  tokens = 1;

  clockMs: number | undefined;

  override async readBlockEvents({ since }: BlockEventsQuery): Promise<BlockEvents> {
    this.queries.push(since);
    await new Promise((resolve) => {
      setTimeout(resolve, POLL_MS);
    });
    const count = Math.max(0, END_OFFSET - since);
    return {
      epoch: this.epoch,
      nextOffset: END_OFFSET,
      clockMs: this.clockMs,
      hasGap: false,
      changes: Array.from({ length: count }, (_, index) => ({
        isPresent: true,
        salt: 'salt',
        partId: String(since + index),
        tokens: this.tokens,
      })),
    };
  }
}

/** Starts the controller of a follower; it reads the store itself once it is a relay. */
const startFollower = () => {
  const blocks = new BlockDirectory();
  blocks.updateStores([
    {
      name: 'store',
      address: ADDRESS,
      availabilityZone: toId<AvailabilityZoneId>('z1'),
      capacityTokens: 1e6,
      linkMbps: 1e3,
      firstByteMs: 0,
      maxEventReaders: 4,
      managed: true,
    },
  ]);
  const protocol = new StoreProtocol();
  const state = { isRelay: false };
  const relayed: RelayedBlocks[] = [];
  const controller = new BlockStoresController({
    blocks,
    protocol,
    logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
    fetchWindow: new FetchWindow(new OperatorState()),
    isReleaseOwner: () => false,
    isDirectReader: () => state.isRelay,
    onBlockChanges: (changes) => relayed.push(changes),
  });
  const abortController = new AbortController();
  onTestFinished(() => abortController.abort());
  controller.refresh(abortController.signal);
  const whole = { address: ADDRESS, epoch: 1, isWhole: true, clockMs: undefined };
  controller.applyRelayed({ ...whole, changes: [], next: END_OFFSET - 5 });
  const becomeRelay = async (): Promise<void> => {
    state.isRelay = true;
    await vi.advanceTimersByTimeAsync(1_500);
  };
  return { blocks, controller, protocol, relayed, becomeRelay };
};

const countChanges = (relayed: readonly RelayedBlocks[]): number =>
  relayed.flatMap(({ changes }) => changes).length;

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

// Guards against a new relay that sends its followers the whole history of every store.
test('a VM that becomes a relay reads a store from where the relay before it was', async () => {
  const { controller, protocol, relayed, becomeRelay } = startFollower();
  await becomeRelay();
  expect(protocol.queries[0]).toBe(END_OFFSET - 5);
  expect(countChanges(relayed)).toBe(5);
  expect(controller.scanStore(ADDRESS).nextPart()?.next).toBe(END_OFFSET);
});

// Guards against offsets of a store that has restarted since and numbers its events anew.
test('a VM that becomes a relay reads a restarted store from the beginning', async () => {
  const { protocol, relayed, becomeRelay } = startFollower();
  protocol.epoch = 2;
  await becomeRelay();
  expect(protocol.queries.slice(0, 2)).toEqual([END_OFFSET - 5, 0]);
  expect(countChanges(relayed)).toBe(END_OFFSET);
});

// Guards against followers that fetch what a restarted store does not hold any more (MIXED).
test('followers learn that a store has restarted before it holds anything', async () => {
  const { protocol, relayed, becomeRelay } = startFollower();
  await becomeRelay();
  relayed.length = 0;
  protocol.epoch = 2;
  await vi.advanceTimersByTimeAsync(3 * POLL_MS);
  const [first] = relayed.filter(({ epoch }) => epoch === 2);
  expect(first).toMatchObject({ epoch: 2, isWhole: false, changes: [] });
});

// Guards against followers for which a store without changes becomes too old to be fetched from.
test('followers learn that a store without changes is in the same epoch', async () => {
  const { protocol, relayed, becomeRelay } = startFollower();
  await becomeRelay();
  relayed.length = 0;
  protocol.clockMs = 77;
  await vi.advanceTimersByTimeAsync(2_000);
  expect(relayed.length).toBeGreaterThan(1);
  expect(relayed.at(-1)).toMatchObject({ epoch: 1, clockMs: 77, changes: [], next: END_OFFSET });
});

// Guards against a store whose list grows with each read until it fills the memory of the VM.
test('a store that lists more tokens than it holds is not used, and read again after a pause', async () => {
  const { blocks, protocol, relayed, becomeRelay } = startFollower();
  protocol.tokens = 1e6;
  await becomeRelay();
  expect(blocks.listBlocks(ADDRESS)).toHaveLength(0);
  expect(blocks.findEpoch(ADDRESS)).toBeUndefined();
  expect(relayed.map(({ epoch }) => epoch)).toEqual([undefined]);
  await vi.advanceTimersByTimeAsync(8_000);
  expect(protocol.queries).toHaveLength(1);
  protocol.tokens = 1;
  await vi.advanceTimersByTimeAsync(3_000);
  expect(protocol.queries[1]).toBe(0);
  expect(blocks.listBlocks(ADDRESS)).toHaveLength(END_OFFSET);
});

/** More than a VM keeps of all stores together. */
const MANY_BLOCKS = 160_000;

// Guards against a relay that passes on such a list.
test('a relayed list of more blocks than a VM keeps is not used', () => {
  const { blocks, controller } = startFollower();
  const changes = Array.from({ length: MANY_BLOCKS }, (_value, index) => ({
    isPresent: true,
    salt: 'salt',
    partId: String(index),
    tokens: 1,
  }));
  controller.applyRelayed({
    address: ADDRESS,
    epoch: 1,
    isWhole: true,
    clockMs: undefined,
    changes,
  });
  expect(blocks.listBlocks(ADDRESS)).toHaveLength(0);
});

// Guards against a store that answers at once without events, which would be asked without a pause.
test('a store that does not wait for events is asked at a bounded rate', async () => {
  const { protocol, becomeRelay } = startFollower();
  await becomeRelay();
  const { length } = protocol.queries;
  await vi.advanceTimersByTimeAsync(3_000);
  expect(protocol.queries.length - length).toBeLessThanOrEqual(10);
});
