import {
  BlockDirectory,
  FetchWindow,
  OperatorState,
  buildBlockKey,
  toId,
} from '@goldcrestscale/core';
import type { AvailabilityZoneId, EpochWindow } from '@goldcrestscale/core';
import { createLogger } from '@goldcrestscale/runtime';
import type { RelayedBlocks } from '../../mesh/feedMessage.js';
import { BlockStoresController } from '../blockStoresController.js';
import { SALT } from './simulatedStore.js';
import type { SimulatedStore, Transfer } from './simulatedStore.js';

const ADDRESS = '10.0.0.1:1';
const ZONE = toId<AvailabilityZoneId>('z1');

/** Time for which a message is under way on a sound link, in milliseconds. */
export const LINK_DELAY_MS = 5;

/** Time that a request would wait for its parts at most, in milliseconds. */
const MAX_FETCH_MS = 1_500;

/** Creates what keeps the saves of a VM apart from the fetches of others. */
export type WindowFactory = () => EpochWindow;

/** A VM, its view of the store and its place in the fleet. */
export class SimulatedVm {
  readonly blocks: BlockDirectory;

  readonly controller: BlockStoresController;

  isReader = false;

  relay: SimulatedVm | undefined;

  /** Time for which what the relay sends is under way. */
  linkDelayMs = LINK_DELAY_MS;

  private readonly abortController = new AbortController();

  private deliverAtMs = 0;

  /** Counts the relays that it has had. */
  private link = 0;

  constructor(
    private readonly store: SimulatedStore,
    createWindow: WindowFactory,
    onBlockChanges: (changes: RelayedBlocks, from: SimulatedVm) => void,
  ) {
    this.blocks = new BlockDirectory(createWindow);
    this.blocks.updateStores([
      {
        name: 'store',
        address: ADDRESS,
        availabilityZone: ZONE,
        capacityTokens: 1_000,
        linkMbps: 1_000,
        firstByteMs: 0,
        maxEventReaders: 4,
        managed: true,
      },
    ]);
    this.controller = new BlockStoresController({
      blocks: this.blocks,
      protocol: store,
      logger: createLogger({ part: 'test', level: 'error', format: 'json' }),
      fetchWindow: new FetchWindow(new OperatorState()),
      isReleaseOwner: () => false,
      isDirectReader: () => this.isReader,
      onBlockChanges: (changes) => onBlockChanges(changes, this),
    });
    this.controller.refresh(this.abortController.signal);
  }

  /** Reads the store itself. */
  lead(): void {
    this.loseRelay();
    this.isReader = true;
  }

  /** Follows another VM, which sends the contents of the store first. */
  follow(relay: SimulatedVm): void {
    this.loseRelay();
    this.isReader = false;
    this.relay = relay;
    const scan = relay.controller.scanStore(ADDRESS);
    for (let part = scan.nextPart(); part; part = part.hasMore ? scan.nextPart() : undefined) {
      this.receive(part);
    }
  }

  /** Loses its relay, and what is under way from it. */
  loseRelay(): void {
    this.relay = undefined;
    this.link += 1;
  }

  /** Takes what its relay sends, in the order in which it was sent. */
  receive(changes: RelayedBlocks): void {
    const { link } = this;
    this.deliverAtMs = Math.max(this.deliverAtMs, performance.now() + this.linkDelayMs);
    setTimeout(() => {
      if (link === this.link) this.controller.applyRelayed(changes);
    }, this.deliverAtMs - performance.now());
  }

  /** Has a part fetched if the store holds it, as far as this VM knows. */
  fetch(partId: string, transfer: Transfer): void {
    const { blocks, store } = this;
    if (!blocks.findFetchSource(buildBlockKey(SALT, partId), 1)) return;
    const untilMs = blocks.computeServerTimeMs(
      Math.min(MAX_FETCH_MS, blocks.computeMaxFetchMs(ADDRESS)),
    );
    if (untilMs !== undefined) void store.fetch({ partId, untilMs, ...transfer });
  }

  /** Has a part saved if the store does not hold it, as far as this VM knows. */
  save(partId: string, transfer: Transfer): void {
    const { blocks, store } = this;
    if (blocks.reserveSaveTarget(buildBlockKey(SALT, partId), 1, ZONE) === undefined) return;
    void store.save({ partId, proof: blocks.findProof(ADDRESS), ...transfer });
  }

  stop(): void {
    this.loseRelay();
    this.abortController.abort();
  }
}
