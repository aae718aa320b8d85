import type { BootId, UpstreamId } from '../ids.js';
import { computeLongestElapsed, getNow } from '../lease/index.js';
import type { Moment } from '../lease/index.js';
import { GRANT_ANSWER_BOUND_MS, GRANT_MS, RESERVE_IDLE_MS, RESERVE_SHARE } from './constants.js';
import { LocalLimit } from './localLimit.js';
import type { SlotGrant, SlotReport } from './slotMessages.js';

/** What is known of the upstream run that slots are for. */
export interface SlotTarget {
  readonly upstreamId: UpstreamId;
  readonly bootId: BootId;
  /** Whether the upstream has not said yet that this run of it is warm. */
  readonly cold: boolean;
  readonly maxConcurrent: number;
  readonly coldConcurrent: number;
}

/** One VM's slots at one run of one upstream. Every check looks at the time itself. */
export class SlotAccount {
  private waiting = 0;

  private slots = 0;

  private inFlight = 0;

  private completed = 0;

  private sequence = 0;

  private limit = Infinity;

  private isAnswered = true;

  private askedAt: Moment = getNow();

  private confirmedAt: Moment | undefined;

  private usedAt: Moment | undefined;

  private readonly localLimit: LocalLimit;

  constructor(
    private target: SlotTarget,
    /** Gives numbers that grow over all accounts of this process. */
    private readonly nextSequence: () => number,
  ) {
    this.localLimit = new LocalLimit(target.maxConcurrent);
  }

  /** Whether this run of the upstream is not known to be warm. */
  get isCold(): boolean {
    return this.target.cold;
  }

  /** Sets the number of requests that wait for a slot. */
  setWaiting(count: number): void {
    this.waiting = count;
  }

  /** Takes over what the upstream's newest load report says of this run of it. */
  update(target: SlotTarget): void {
    // A run that was warm once stays warm; a late report may still call it cold.
    this.target = { ...target, cold: target.cold && this.target.cold };
  }

  /** Takes a slot where there is a free one that holds at this moment. */
  tryTake(): boolean {
    this.usedAt = getNow();
    if (this.inFlight >= this.computeUsable()) return false;
    this.inFlight += 1;
    return true;
  }

  /** Tells whether a request that has taken a slot may be sent at this moment. */
  canSend(): boolean {
    return this.isConfirmed() || this.isLocal();
  }

  /** Gives a slot back. */
  finish(isCompleted: boolean): void {
    this.inFlight -= 1;
    if (isCompleted) this.completed += 1;
    this.localLimit.note(isCompleted);
    if (this.target.cold) this.slots = Math.max(this.inFlight, this.slots - 1);
  }

  /** Builds the next report; slots that are not needed are given back by it. */
  beginExchange(): SlotReport {
    this.sequence = this.nextSequence();
    this.isAnswered = false;
    this.askedAt = getNow();
    const keep = this.inFlight + this.computeReserve();
    this.slots = this.isConfirmed() ? Math.min(this.slots, keep) : this.inFlight;
    const { upstreamId, bootId, cold, maxConcurrent, coldConcurrent } = this.target;
    return {
      upstreamId,
      bootId,
      sequence: this.sequence,
      slots: Math.max(this.slots, this.inFlight),
      inFlight: this.inFlight,
      completed: this.completed,
      wanted: Math.max(0, this.inFlight + this.waiting + this.computeReserve() - this.slots),
      isWarm: !cold,
      maxConcurrent,
      coldConcurrent,
    };
  }

  /** Takes in an answer; false where it is late or not to the last report. */
  acceptGrant(grant: SlotGrant): boolean {
    if (grant.sequence !== this.sequence || this.isAnswered) return false;
    if (computeLongestElapsed(this.askedAt) > GRANT_ANSWER_BOUND_MS) return false;
    this.isAnswered = true;
    this.slots += grant.granted;
    this.limit = Math.max(1, grant.limit);
    this.confirmedAt = this.askedAt;
    this.localLimit.reset(Math.max(this.slots, 1));
    return true;
  }

  /** Tells whether an exchange is of use: slots are held, in use or waited for. */
  needExchange(): boolean {
    return this.waiting > 0 || this.inFlight > 0 || this.slots > 0;
  }

  /** Tells whether nothing at all is held or in use. */
  isIdle(): boolean {
    return !this.needExchange() && this.computeReserve() === 0;
  }

  /** Gives the state for the dump. */
  dump(): unknown {
    const { slots, inFlight, waiting, completed } = this;
    return { slots, inFlight, waiting, completed, isConfirmed: this.isConfirmed() };
  }

  private isConfirmed(): boolean {
    return this.confirmedAt !== undefined && computeLongestElapsed(this.confirmedAt) < GRANT_MS;
  }

  /** Without a granter, a warm upstream is used within a limit that adapts to its answers. */
  private isLocal(): boolean {
    return !this.isConfirmed() && !this.target.cold;
  }

  private computeUsable(): number {
    if (this.isConfirmed()) return Math.min(this.slots, this.limit);
    return this.isLocal() ? this.localLimit.get() : 0;
  }

  private computeReserve(): number {
    const isUsed = this.usedAt && computeLongestElapsed(this.usedAt) < RESERVE_IDLE_MS;
    return this.target.cold || !isUsed ? 0 : Math.ceil(this.inFlight * RESERVE_SHARE);
  }
}
