import { sleep, splitBlockKey } from '@goldcrestscale/core';
import type { BlockDirectory, FetchHorizon } from '@goldcrestscale/core';
import type { Logger } from '@goldcrestscale/runtime';
import { BLOCK_EVENTS_WAIT_MS, LOG_RETRY_MS } from '../constants.js';
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

  private async follow(address: string, signal: AbortSignal): Promise<void> {
    let next = FROM_START;
    let isDown = false;
    while (!signal.aborted) {
      try {
        next = await this.readOnce(address, next, signal);
        if (isDown) this.options.logger.info('store answers again', { address });
        isDown = false;
      } catch (cause) {
        if (signal.aborted) return;
        if (!isDown) {
          this.options.logger.warn('store does not answer', { address, error: String(cause) });
          // What it holds is known again from the events that it still has.
          this.options.blocks.clearStore(address);
          next = FROM_START;
        }
        isDown = true;
        await sleep(LOG_RETRY_MS, signal);
      }
    }
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
    await this.releaseOutdated(address, events.epoch, signal);
    return events.next;
  }
}
