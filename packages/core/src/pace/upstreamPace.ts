import type { TrackedUpstream } from '../fleet/index.js';
import {
  INITIAL_PACE,
  INITIAL_SLOT_FRACTION,
  MAX_PACE_MS,
  MAX_PACE_ROUND_MS,
  MAX_ROUNDS_AT_ONCE,
  MIN_PACE_ROUND_MS,
  PACE_SLOWDOWN,
  UNANSWERED_ROUNDS,
} from './constants.js';

/** The VMs that may send to an upstream, and the place of this one among them. */
export interface PaceSenders {
  /** Rank of this VM by rendezvous hashing, from 0 on. */
  readonly rank: number;
  readonly count: number;
}

/**
 * Slow start of one upstream: the requests that all VMs together may have in flight there. All VMs
 * begin at nearly the same time and double at the same rate, so that each knows its part.
 */
export class UpstreamPace {
  private readonly initialLevel: number;

  private level: number;

  private readonly beganAtMs = performance.now();

  private steppedAtMs = this.beganAtMs;

  private hasAnswered = false;

  private senders: PaceSenders | undefined;

  constructor(
    private readonly upstream: TrackedUpstream,
    private readonly findSenders: () => PaceSenders,
  ) {
    const { slots } = upstream.registered;
    this.initialLevel = Math.max(INITIAL_PACE, slots * INITIAL_SLOT_FRACTION);
    this.level = this.initialLevel;
  }

  /** Requests in flight that all VMs together may have at the upstream. */
  get requests(): number {
    return this.level;
  }

  /** Whether this VM may send one more request. */
  get canTake(): boolean {
    // The limit on requests to cold upstreams holds alone, and is a slow start as well.
    return this.upstream.isCold || this.upstream.inFlight < this.computePart();
  }

  /**
   * Moves the pace on.
   *
   * @param getMeanLoad gives the mean load of the other upstreams, in requests
   * @returns whether it has ended
   */
  advance(getMeanLoad: () => number): boolean {
    const nowMs = performance.now();
    const { usualHeadMs } = this.upstream.speed;
    const usualRoundMs = Math.min(MAX_PACE_ROUND_MS, Math.max(MIN_PACE_ROUND_MS, usualHeadMs));
    const roundMs = usualRoundMs * (this.hasAnswered ? 1 : UNANSWERED_ROUNDS);
    const rounds = Math.floor((nowMs - this.steppedAtMs) / roundMs);
    if (rounds < 1) return false;
    this.steppedAtMs += rounds * roundMs;
    if (this.upstream.slowdown >= PACE_SLOWDOWN) this.setLevel(this.level / 2);
    else this.setLevel(this.level * 2 ** Math.min(rounds, MAX_ROUNDS_AT_ONCE));
    return nowMs - this.beganAtMs >= MAX_PACE_MS || this.level >= getMeanLoad();
  }

  recordAnswer(): void {
    this.hasAnswered = true;
  }

  recordFailure(): void {
    this.hasAnswered = false;
    this.setLevel(this.level / 2);
    this.steppedAtMs = performance.now();
  }

  private setLevel(level: number): void {
    this.level = Math.max(this.initialLevel, level);
  }

  /** Computes how many requests this VM may have in flight. */
  private computePart(): number {
    this.senders ??= this.findSenders();
    const { rank, count } = this.senders;
    const part = this.level >= count ? Math.floor(this.level / count) : Number(rank < this.level);
    return this.hasAnswered ? part : Math.min(1, part);
  }
}
