import { sleep, splitBlockKey } from '@goldcrestscale/core';
import type { BlockDirectory, FetchHorizon } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import {
  BLOCK_EVENTS_PAUSE_MS,
  BLOCK_EVENTS_WAIT_MS,
  LOG_RETRY_MS,
  STORE_CHECK_MS,
} from '../constants.js';
import type { RelayedBlocks } from '../mesh/feedMessage.js';
import type { UpstreamProtocol } from '../ports/index.js';

const FROM_START = 0;

/** What the controller is built from. */
export interface BlockStoresOptions {
  readonly blocks: BlockDirectory;
  readonly protocol: UpstreamProtocol;
  readonly logger: Logger;
  readonly horizon: FetchHorizon;
  /** Whether this VM frees the blocks of a store; another one that does as well costs a call. */
  readonly isInCharge: (address: string) => boolean;
  /** Whether this VM asks the stores itself; else a relay tells what they hold. */
  readonly isReader: () => boolean;
  /** Told what this VM has read by itself, for those that follow it. */
  readonly onBlocks: (blocks: RelayedBlocks) => void;
}

/** Follows the events of every store. */
export class BlockStoresController {
  private readonly readers = new Map<string, AbortController>();

  constructor(private readonly options: BlockStoresOptions) {}

  /** Follows the stores that the directory lists now, and no others. */
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
        void this.follow(address, AbortSignal.any([signal, reader.signal]));
      });
  }

  /** Takes what a relay tells of a store. */
  takeRelayed({ address, epoch, isWhole, clockMs, changes }: RelayedBlocks): void {
    const { blocks, isReader } = this.options;
    if (isReader()) return;
    if (clockMs !== undefined) blocks.noteClock(clockMs);
    if (isWhole || epoch === undefined) blocks.clearStore(address);
    if (epoch === undefined) return;
    blocks.noteEpoch(address, epoch);
    changes.forEach((change) => blocks.applyChange(address, change));
  }

  /** Lists all that the stores hold, as far as this VM has read it by itself. */
  listBlocks(): readonly RelayedBlocks[] {
    const { blocks, isReader } = this.options;
    if (!isReader()) return [];
    return blocks.listStores().map(({ address }) => ({
      address,
      epoch: blocks.findEpoch(address),
      isWhole: true,
      clockMs: undefined,
      changes: blocks.listBlocks(address),
    }));
  }

  private async follow(address: string, signal: AbortSignal): Promise<void> {
    let next = FROM_START;
    let isDown = false;
    while (!signal.aborted) {
      try {
        next = await this.readNext(address, next, signal);
        if (isDown) this.options.logger.info('store answers again', { address });
        isDown = false;
      } catch (cause) {
        if (signal.aborted) return;
        if (!isDown) {
          this.options.logger.warn('store does not answer', { address, error: String(cause) });
          // What it holds is known again from the events that it still has.
          this.options.blocks.clearStore(address);
          this.publish({ address, epoch: undefined });
          next = FROM_START;
        }
        isDown = true;
        await sleep(LOG_RETRY_MS, signal);
      }
    }
  }

  private publish({
    clockMs,
    changes = [],
    ...told
  }: Pick<RelayedBlocks, 'address' | 'epoch'> & Partial<RelayedBlocks>): void {
    this.options.onBlocks({ ...told, isWhole: false, clockMs, changes });
  }

  /** Frees the blocks of weights that are no longer wanted, so that the new ones find room. */
  private async releaseOutdated(
    address: string,
    epoch: number,
    signal: AbortSignal,
  ): Promise<void> {
    const { blocks, horizon, protocol, logger, isInCharge } = this.options;
    if (!isInCharge(address)) return;
    const keys = blocks.listFreeable(address, (salt) => horizon.canFree(salt));
    if (keys.length === 0) return;
    await protocol.releaseBlocks(address, epoch, keys, signal);
    keys.forEach((key) =>
      blocks.applyChange(address, { ...splitBlockKey(key), isPresent: false, tokens: 0 }),
    );
    logger.info('blocks freed', { address, blocks: keys.length });
  }

  private async readNext(address: string, since: number, signal: AbortSignal): Promise<number> {
    if (this.options.isReader()) return this.readOnce(address, since, signal);
    await sleep(STORE_CHECK_MS, signal);
    return FROM_START;
  }

  /** @returns the position of the next read */
  private async readOnce(address: string, since: number, signal: AbortSignal): Promise<number> {
    const { blocks, protocol, logger } = this.options;
    const query = { address, since, waitMs: BLOCK_EVENTS_WAIT_MS, signal };
    const events = await protocol.readBlockEvents(query);
    if (events.clockMs !== undefined) blocks.noteClock(events.clockMs);
    if (blocks.noteEpoch(address, events.epoch)) {
      logger.info('store in a new run', { address, epoch: events.epoch });
      // The events of the new run are numbered anew.
      if (since !== FROM_START) return FROM_START;
    }
    events.changes.forEach((change) => blocks.applyChange(address, change));
    const { epoch, clockMs, changes } = events;
    if (changes.length > 0) this.publish({ address, epoch, clockMs, changes });
    await this.releaseOutdated(address, events.epoch, signal);
    if (changes.length > 0) await sleep(BLOCK_EVENTS_PAUSE_MS, signal);
    return events.next;
  }
}
