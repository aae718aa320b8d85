import { MAX_SAVE_AGE_MS } from '@goldcrestscale/core';
import type { EpochProof } from '@goldcrestscale/core';
import type { BlockEvents, BlockEventsQuery } from '../../ports/index.js';
import { TestUpstreamProtocol } from '../../__tests__/testProtocols.js';

type Change = BlockEvents['changes'][number];

/** Offset of the servers' clock from that of the VMs. */
const SERVER_CLOCK_MS = 5_000_000;

const EVENT_DELAY_MS = 60;

/** Time until a VM has an answer, or learns that there is none. */
const ANSWER_DELAY_MS = 5;

export const SALT = 'salt';

const wait = (ms: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

const readClock = (): number => Math.round(performance.now()) + SERVER_CLOCK_MS;

interface Part {
  isWhole: boolean;
  /** Whether its save was ordered before the store's restart could be known; nobody can call it back. */
  readonly isOrderedBefore: boolean;
}

/** When a part is transferred. */
export interface Transfer {
  /** Time until the transfer begins. */
  readonly delayMs: number;
  readonly durationMs: number;
}

/** A part that a VM has saved. */
interface Save extends Transfer {
  readonly partId: string;
  /** What the VM knows of the store. */
  readonly proof: EpochProof | undefined;
}

/** A part that a VM has fetched. */
interface Fetch extends Transfer {
  readonly partId: string;
  /** Time on the servers' clock at which it is discarded. */
  readonly untilMs: number;
}

/** A managed store that restarts, and notes fetches of parts that are being written. */
export class SimulatedStore extends TestUpstreamProtocol {
  epoch = 1;

  isDown = false;

  /** Parts that were fetched while they were being written. */
  readonly partialFetches: string[] = [];

  /** Those of them that an order from before the restart wrote. */
  readonly lateSaveFetches: string[] = [];

  fetches = 0;

  saves = 0;

  private parts = new Map<string, Part>();

  private events: Change[] = [];

  private readonly wakeUps = new Set<() => void>();

  /** Loses its parts and connections. */
  crash(): void {
    this.isDown = true;
    this.epoch += 1;
    this.parts = new Map();
    this.events = [];
    this.wakeAll();
  }

  restart(): void {
    this.isDown = false;
  }

  override async readBlockEvents({ since, longPollMs }: BlockEventsQuery): Promise<BlockEvents> {
    const { epoch } = this;
    if (!this.isDown && this.events.length === since) {
      await Promise.race([
        wait(longPollMs),
        new Promise<void>((resolve) => {
          this.wakeUps.add(resolve);
        }),
      ]);
    }
    const hasFailed = this.isDown || epoch !== this.epoch;
    const events = {
      epoch,
      nextOffset: this.events.length,
      clockMs: readClock(),
      hasGap: false,
      changes: this.events.slice(since),
    };
    await wait(ANSWER_DELAY_MS);
    if (hasFailed) throw new Error('the store does not answer');
    return events;
  }

  async save({ partId, proof, delayMs, durationMs }: Save): Promise<void> {
    await wait(delayMs);
    const { parts, epoch } = this;
    if (this.isDown || parts.has(partId)) return;
    this.saves += 1;
    const isCurrent = proof !== undefined && proof.ageMs <= MAX_SAVE_AGE_MS;
    const isOrderedBefore = isCurrent && proof.epoch !== epoch;
    const part: Part = { isWhole: false, isOrderedBefore };
    parts.set(partId, part);
    await wait(durationMs);
    part.isWhole = true;
    await wait(EVENT_DELAY_MS);
    if (epoch !== this.epoch) return;
    this.events.push({ isPresent: true, salt: SALT, partId, tokens: 1 });
    this.wakeAll();
  }

  async fetch({ partId, untilMs, delayMs, durationMs }: Fetch): Promise<void> {
    await wait(delayMs);
    const { epoch } = this;
    const part = this.isDown ? undefined : this.parts.get(partId);
    const isPartial = part !== undefined && !part.isWhole;
    await wait(part ? durationMs : 1);
    if (epoch !== this.epoch || readClock() > untilMs) return;
    this.fetches += 1;
    if (isPartial && part.isOrderedBefore) this.lateSaveFetches.push(partId);
    else if (isPartial) this.partialFetches.push(partId);
  }

  private wakeAll(): void {
    this.wakeUps.forEach((wake) => wake());
    this.wakeUps.clear();
  }
}
