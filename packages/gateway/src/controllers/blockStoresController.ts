import { sleep, splitBlockKey } from '@goldcrestscale/core';
import type { BlockDirectory, FetchWindow } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import {
  BLOCK_EVENTS_BATCH_DELAY_MS,
  BLOCK_EVENTS_LONG_POLL_MS,
  FAULTY_STORE_PAUSE_MS,
  LOG_RETRY_DELAY_MS,
  MAX_STORE_RETRY_DELAY_MS,
  STORE_READER_CHECK_INTERVAL_MS,
} from '../constants.js';
import type { RelayedBlocks } from '../mesh/feedMessage.js';
import type { UpstreamProtocol } from '../ports/index.js';
import { FaultyStoreError } from './faultyStoreError.js';
import { StoreScan } from './storeScan.js';

const START_OFFSET = 0;

/** Dependencies of the controller. */
export interface BlockStoresOptions {
  readonly blocks: BlockDirectory;
  readonly protocol: UpstreamProtocol;
  readonly logger: Logger;
  readonly fetchWindow: FetchWindow;
  /** Whether this VM frees the blocks of a store. If another VM does so too, the only cost is a call. */
  readonly isReleaseOwner: (address: string) => boolean;
  /** Whether this VM reads the stores directly; otherwise it gets their events from a relay. */
  readonly isDirectReader: () => boolean;
  /** Called with the changes that this VM read directly, to be relayed to its followers. */
  readonly onBlockChanges: (blocks: RelayedBlocks) => void;
}

/** Keeps the block directory in sync with the event streams of all block stores. */
export class BlockStoresController {
  private readonly readers = new Map<string, AbortController>();

  /** Offset of the next event of each store, whether read directly or relayed. */
  private readonly nextOffsets = new Map<string, number>();

  /** Stores of whose contents a relay has sent a part only; an offset would skip the rest. */
  private readonly incomplete = new Set<string>();

  constructor(private readonly options: BlockStoresOptions) {}

  /** Starts and stops event readers so that they match the stores in the directory. */
  refresh(signal: AbortSignal): void {
    const addresses = this.options.blocks.listStores().map(({ address }) => address);
    [...this.readers.keys()]
      .filter((address) => !addresses.includes(address))
      .forEach((address) => {
        this.readers.get(address)?.abort();
        this.readers.delete(address);
      });
    addresses
      .filter((address) => !this.readers.has(address))
      .forEach((address) => {
        const reader = new AbortController();
        this.readers.set(address, reader);
        void this.followStore(address, AbortSignal.any([signal, reader.signal]));
      });
  }

  /** Applies changes of a store that were received from a relay. */
  applyRelayed(relayed: RelayedBlocks): void {
    const { address, epoch, isWhole, clockMs, changes, next } = relayed;
    const { blocks, isDirectReader } = this.options;
    if (isDirectReader()) return;
    if (clockMs !== undefined) blocks.updateServerClock(clockMs);
    if (isWhole || epoch === undefined) blocks.clearStore(address);
    this.nextOffsets.delete(address);
    const isNewEpoch = epoch !== undefined && blocks.updateEpoch(address, epoch);
    this.recordCompleteness(relayed, isNewEpoch);
    if (epoch === undefined) return;
    if (next !== undefined && !this.incomplete.has(address)) this.nextOffsets.set(address, next);
    if (clockMs !== undefined) blocks.recordConfirmation(address, clockMs);
    changes.forEach((change) => blocks.applyChange(address, change));
    const excess = blocks.explainExcess(address);
    if (excess === undefined) return;
    this.options.logger.warn('block store unavailable', { address, error: excess });
    blocks.clearStore(address);
    this.nextOffsets.delete(address);
  }

  /** Lists the addresses of all stores; empty if this VM does not read the stores directly. */
  listRead(): readonly string[] {
    const { blocks, isDirectReader } = this.options;
    return isDirectReader() ? blocks.listStores().map(({ address }) => address) : [];
  }

  /** Begins to list the contents of a store. */
  scanStore(address: string): StoreScan {
    return new StoreScan({
      blocks: this.options.blocks,
      address,
      isRead: () => this.listRead().includes(address),
      getNextOffset: () => this.nextOffsets.get(address),
    });
  }

  private recordCompleteness(
    { address, epoch, isWhole, hasMore }: RelayedBlocks,
    isNewEpoch: boolean,
  ): void {
    if (hasMore) this.incomplete.add(address);
    else if (hasMore === false || isWhole || isNewEpoch || epoch === undefined)
      this.incomplete.delete(address);
  }

  private async followStore(address: string, signal: AbortSignal): Promise<void> {
    let failures = 0;
    while (!signal.aborted) {
      try {
        const startedAtMs = performance.now();
        await this.readNext(address, signal);
        if (failures > 0) this.options.logger.info('block store available again', { address });
        failures = 0;
        // A store that answers without waiting for events would be asked without a pause.
        const elapsedMs = performance.now() - startedAtMs;
        if (elapsedMs < BLOCK_EVENTS_BATCH_DELAY_MS)
          await sleep(BLOCK_EVENTS_BATCH_DELAY_MS - elapsedMs, signal);
      } catch (cause) {
        if (signal.aborted) return;
        if (failures === 0) {
          this.options.logger.warn('block store unavailable', { address, error: String(cause) });
          this.clearStore(address);
        }
        const delayMs = Math.min(LOG_RETRY_DELAY_MS * 2 ** failures, MAX_STORE_RETRY_DELAY_MS);
        failures += 1;
        await sleep(cause instanceof FaultyStoreError ? FAULTY_STORE_PAUSE_MS : delayMs, signal);
      }
    }
  }

  /** The contents of a store are rebuilt from the events that it has retained. */
  private clearStore(address: string): void {
    this.options.blocks.clearStore(address);
    this.publish({ address, epoch: undefined });
    this.nextOffsets.delete(address);
  }

  private publish({
    clockMs,
    changes = [],
    ...store
  }: Pick<RelayedBlocks, 'address' | 'epoch'> & Partial<RelayedBlocks>): void {
    this.options.onBlockChanges({ ...store, isWhole: false, clockMs, changes });
  }

  /** Frees the blocks of outdated weights to make room for blocks of the current ones. */
  private async releaseOutdatedBlocks(
    address: string,
    epoch: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { blocks, fetchWindow, protocol, logger, isReleaseOwner } = this.options;
    if (!isReleaseOwner(address)) return;
    const keys = blocks.listFreeableKeys(address, (salt) => fetchWindow.canFree(salt));
    if (keys.length === 0) return;
    await protocol.releaseBlocks(address, epoch, keys, signal);
    keys.forEach((key) =>
      blocks.applyChange(address, { ...splitBlockKey(key), isPresent: false, tokens: 0 }),
    );
    logger.info('freed outdated blocks', { address, blocks: keys.length });
  }

  private async readNext(address: string, signal: AbortSignal): Promise<void> {
    if (this.options.isDirectReader()) await this.readOnce(address, signal);
    else await sleep(STORE_READER_CHECK_INTERVAL_MS, signal);
  }

  private async readOnce(address: string, signal: AbortSignal): Promise<void> {
    const { blocks, protocol, logger } = this.options;
    const since = this.nextOffsets.get(address) ?? START_OFFSET;
    const query = { address, since, longPollMs: BLOCK_EVENTS_LONG_POLL_MS, signal };
    const events = await protocol.readBlockEvents(query);
    if (events.clockMs !== undefined) blocks.updateServerClock(events.clockMs);
    if (blocks.updateEpoch(address, events.epoch)) {
      logger.info('block store restarted', { address, epoch: events.epoch });
      // A restarted store numbers its events from the beginning.
      this.nextOffsets.delete(address);
      if (since !== START_OFFSET) {
        // Its followers must not wait for the first part that it holds again.
        this.publish({ address, epoch: events.epoch, clockMs: events.clockMs });
        return;
      }
    }
    events.changes.forEach((change) => blocks.applyChange(address, change));
    const excess = blocks.explainExcess(address);
    if (excess !== undefined) throw new FaultyStoreError(excess);
    const { epoch, clockMs, changes, nextOffset: next } = events;
    if (clockMs !== undefined) blocks.recordConfirmation(address, clockMs);
    this.nextOffsets.set(address, next);
    // Without changes, it still tells followers which epoch the store is in.
    this.publish({ address, epoch, clockMs, changes, next });
    await this.releaseOutdatedBlocks(address, events.epoch, signal);
    if (changes.length > 0) await sleep(BLOCK_EVENTS_BATCH_DELAY_MS, signal);
  }
}
