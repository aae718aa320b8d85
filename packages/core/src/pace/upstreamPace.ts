import type { TrackedUpstream } from '../fleet/index.js';
import {
  INITIAL_PACE,
  MAX_PACE_MS,
  PACE_ROUND_MS,
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
  private level = INITIAL_PACE;

  private beganAtMs = performance.now();

  private steppedAtMs = this.beganAtMs;

  private hasAnswered = false;

  private senders: PaceSenders | undefined;

  constructor(
    private readonly upstream: TrackedUpstream,
    private readonly findSenders: () => PaceSenders,
  ) {}

  /** Requests in flight that all VMs together may have at the upstream. */
  get requests(): number {
    return this.level;
  }

  /** Whether this VM may send one more request. */
  get canTake(): boolean {
    // The limit on requests to cold upstreams holds alone.
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
    if (this.upstream.isCold) {
      this.beganAtMs = nowMs;
      this.steppedAtMs = nowMs;
      return false;
    }
    const roundMs = PACE_ROUND_MS * (this.hasAnswered ? 1 : UNANSWERED_ROUNDS);
    const rounds = Math.floor((nowMs - this.steppedAtMs) / roundMs);
    if (rounds < 1) return false;
    this.steppedAtMs += rounds * roundMs;
    if (this.upstream.slowdown >= PACE_SLOWDOWN)
      this.level = Math.max(INITIAL_PACE, this.level / 2);
    else this.level *= 2 ** Math.min(rounds, MAX_PACE_MS / PACE_ROUND_MS);
    return nowMs - this.beganAtMs >= MAX_PACE_MS || this.level >= getMeanLoad();
  }

  recordAnswer(): void {
    this.hasAnswered = true;
  }

  recordFailure(): void {
    this.hasAnswered = false;
    this.level = Math.max(INITIAL_PACE, this.level / 2);
    this.steppedAtMs = performance.now();
  }

  /** Computes how many requests this VM may have in flight. */
  private computePart(): number {
    this.senders ??= this.findSenders();
    const { rank, count } = this.senders;
    const part = this.level >= count ? Math.floor(this.level / count) : Number(rank < this.level);
    return this.hasAnswered ? part : Math.min(1, part);
  }
}
