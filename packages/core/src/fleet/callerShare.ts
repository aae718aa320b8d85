import {
  CALLER_SHARE_STEP,
  MAX_CALLER_UTILIZATION,
  MIN_CALLER_SHARE,
  RESTORING_UTILIZATION,
} from './constants.js';

/** Computes the last step that is not above a share, apart from the error of the division. */
const computeStepBelow = (share: number): number =>
  Math.floor(share / CALLER_SHARE_STEP + 1e-9) * CALLER_SHARE_STEP;

/**
 * Decides in which part of the directory's answers an entry VM wants to appear. A VM that is used beyond
 * what leaves room for queues to shrink gives up a part at once, and takes it back step by step.
 *
 * The bounds are so far apart that giving up half of the callers doesn't take it from above the one to
 * below the other.
 */
export class CallerShare {
  private share = 1;

  private lastUtilization: number | undefined;

  /** The part, from `MIN_CALLER_SHARE` to 1. */
  get value(): number {
    return this.share;
  }

  /**
   * Records what was in use since the last call. A single value tells nothing: a burst of work, such as a
   * snapshot of the log, may be over before a caller learns of a change.
   *
   * @param utilization part of what the VM has, from 0 to 1, of the resource that it has least of
   * @returns whether the share has changed
   */
  update(utilization: number): boolean {
    const before = this.share;
    const { lastUtilization } = this;
    this.lastUtilization = utilization;
    if (lastUtilization === undefined) return false;
    const sustained = Math.min(utilization, lastUtilization);
    if (sustained > MAX_CALLER_UTILIZATION) {
      const bearable = computeStepBelow((this.share * MAX_CALLER_UTILIZATION) / sustained);
      this.share = Math.max(MIN_CALLER_SHARE, bearable);
    } else if (Math.max(utilization, lastUtilization) < RESTORING_UTILIZATION) {
      this.share = Math.min(1, this.share + CALLER_SHARE_STEP);
    }
    return this.share !== before;
  }
}
