import type { BootId, UpstreamId } from '../ids.js';
import { computeMaxElapsedMs, readClocks } from '../lease/index.js';
import type { ClockReading } from '../lease/index.js';
import {
  GRANT_RESPONSE_TIMEOUT_MS,
  GRANT_TTL_MS,
  SPARE_SLOTS_IDLE_TIMEOUT_MS,
  SPARE_SLOTS_FRACTION,
} from './constants.js';
import { AimdLimit } from './aimdLimit.js';
import type { SlotGrant, SlotReport } from './slotMessages.js';

/** State of the upstream boot that slots apply to. */
export interface SlotTarget {
  readonly upstreamId: UpstreamId;
  readonly bootId: BootId;
  /** Whether the upstream has not yet reported this boot as warm. */
  readonly cold: boolean;
  readonly maxConcurrent: number;
  readonly coldConcurrent: number;
}

/** Slots of one VM at one boot of an upstream. Expiry is checked on every call, without timers. */
export class UpstreamSlots {
  private waiting = 0;

  private slots = 0;

  private inFlight = 0;

  private completed = 0;

  private sequence = 0;

  private limit = Infinity;

  private isGrantReceived = true;

  private reportedAt: ClockReading = readClocks();

  /** Time from which the validity of the last grant is counted. */
  private validFrom: ClockReading | undefined;

  private lastUsedAt: ClockReading | undefined;

  private readonly localLimit: AimdLimit;

  constructor(
    private target: SlotTarget,
    /** Returns sequence numbers that increase across all upstreams of this process. */
    private readonly nextSequence: () => number,
  ) {
    this.localLimit = new AimdLimit(target.maxConcurrent);
  }

  /** Whether this boot of the upstream has not been reported as warm. */
  get isCold(): boolean {
    return this.target.cold;
  }

  /** Sets the number of requests waiting for a slot. */
  setWaiting(count: number): void {
    this.waiting = count;
  }

  /** Applies the upstream's latest load report for this boot. */
  update(target: SlotTarget): void {
    // A boot never becomes cold again; a delayed report may still say so.
    this.target = { ...target, cold: target.cold && this.target.cold };
  }

  /** Takes a free slot if there is a valid one. */
  tryTakeSlot(): boolean {
    this.lastUsedAt = readClocks();
    if (this.inFlight >= this.computeUsableSlots()) return false;
    this.inFlight += 1;
    return true;
  }

  /** Returns whether a request that has taken a slot may be sent now. */
  canSend(): boolean {
    return this.hasValidGrant() || this.isLocalLimitUsed();
  }

  /** Releases a slot. */
  releaseSlot(isCompleted: boolean): void {
    this.inFlight -= 1;
    if (isCompleted) this.completed += 1;
    this.localLimit.recordOutcome(isCompleted);
    if (this.target.cold) this.slots = Math.max(this.inFlight, this.slots - 1);
  }

  /** Builds the next report and releases slots that are not needed. */
  buildReport(): SlotReport {
    this.sequence = this.nextSequence();
    this.isGrantReceived = false;
    this.reportedAt = readClocks();
    const neededSlots = this.inFlight + this.computeSpareSlots();
    this.slots = this.hasValidGrant() ? Math.min(this.slots, neededSlots) : this.inFlight;
    const { upstreamId, bootId, cold, maxConcurrent, coldConcurrent } = this.target;
    return {
      upstreamId,
      bootId,
      sequence: this.sequence,
      slots: Math.max(this.slots, this.inFlight),
      inFlight: this.inFlight,
      completed: this.completed,
      wanted: Math.max(0, this.inFlight + this.waiting + this.computeSpareSlots() - this.slots),
      isWarm: !cold,
      maxConcurrent,
      coldConcurrent,
    };
  }

  /** Applies a grant; false if it is late or not for the latest report. */
  acceptGrant(grant: SlotGrant): boolean {
    if (grant.sequence !== this.sequence || this.isGrantReceived) return false;
    if (computeMaxElapsedMs(this.reportedAt) > GRANT_RESPONSE_TIMEOUT_MS) return false;
    this.isGrantReceived = true;
    this.slots += grant.granted;
    this.limit = Math.max(1, grant.limit);
    this.validFrom = this.reportedAt;
    this.localLimit.reset(Math.max(this.slots, 1));
    return true;
  }

  /** Returns whether a report is needed because slots are held, in use or waited for. */
  needReport(): boolean {
    return this.waiting > 0 || this.inFlight > 0 || this.slots > 0;
  }

  /** Returns whether no slots are held, in use, waited for or kept spare. */
  isIdle(): boolean {
    return !this.needReport() && this.computeSpareSlots() === 0;
  }

  /** Returns the state for debugging output. */
  dump(): unknown {
    const { slots, inFlight, waiting, completed } = this;
    return { slots, inFlight, waiting, completed, isConfirmed: this.hasValidGrant() };
  }

  private hasValidGrant(): boolean {
    return this.validFrom !== undefined && computeMaxElapsedMs(this.validFrom) < GRANT_TTL_MS;
  }

  /** Returns whether the local AIMD limit applies: no valid grant, and the upstream is warm. */
  private isLocalLimitUsed(): boolean {
    return !this.hasValidGrant() && !this.target.cold;
  }

  private computeUsableSlots(): number {
    if (this.hasValidGrant()) return Math.min(this.slots, this.limit);
    return this.isLocalLimitUsed() ? this.localLimit.getLimit() : 0;
  }

  private computeSpareSlots(): number {
    const isRecentlyUsed =
      this.lastUsedAt && computeMaxElapsedMs(this.lastUsedAt) < SPARE_SLOTS_IDLE_TIMEOUT_MS;
    return this.target.cold || !isRecentlyUsed
      ? 0
      : Math.ceil(this.inFlight * SPARE_SLOTS_FRACTION);
  }
}
