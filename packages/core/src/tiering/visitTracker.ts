import type { BlockKey, WorkloadId } from '../ids.js';
import type { PromptBlock } from '../routing/router.js';
import { IDLE_CHECKS_PER_VISIT, MAX_TRACKED_CHAINS } from './constants.js';
import type { ReturnModel } from './returnModel.js';

interface Visit {
  readonly workloadId: WorkloadId;
  readonly atMs: number;
  /** Idle time that the return model has counted. */
  countedMs: number | undefined;
}

/** Finds the gaps between visits of the same prompt and teaches them to a return model. */
export class VisitTracker {
  /** Last visits by the last block of the prompt, the oldest first. */
  private readonly visits = new Map<BlockKey, Visit>();

  private idleCursor = this.visits.keys();

  constructor(
    private readonly model: ReturnModel,
    private readonly maxChains: number = MAX_TRACKED_CHAINS,
  ) {}

  /** Notes a visit; a prompt that continues an earlier one is its return. */
  noteVisit(workloadId: WorkloadId, blocks: readonly PromptBlock[]): void {
    const nowMs = Date.now();
    for (let i = blocks.length - 1; i >= 0; i -= 1) {
      const { key } = blocks[i]!;
      const earlier = this.visits.get(key);
      if (earlier) {
        this.model.learnReturn(earlier.workloadId, nowMs - earlier.atMs, earlier.countedMs);
        this.visits.delete(key);
        break;
      }
    }
    const last = blocks.at(-1);
    if (!last) return;
    this.visits.set(last.key, { workloadId, atMs: nowMs, countedMs: undefined });
    this.countIdle(nowMs);
    if (this.visits.size > this.maxChains) this.dropOldest(nowMs);
  }

  /** Counts the idle time of some more visits, in turn, so that those without a return count. */
  private countIdle(nowMs: number): void {
    for (let i = 0; i < IDLE_CHECKS_PER_VISIT; i += 1) {
      const next = this.idleCursor.next();
      if (next.done) {
        this.idleCursor = this.visits.keys();
        return;
      }
      this.learnIdle(next.value, nowMs);
    }
  }

  private learnIdle(key: BlockKey, nowMs: number): void {
    const visit = this.visits.get(key);
    if (!visit) return;
    const idleMs = nowMs - visit.atMs;
    this.model.learnIdle(visit.workloadId, idleMs, visit.countedMs);
    visit.countedMs = idleMs;
  }

  private dropOldest(nowMs: number): void {
    const key = this.visits.keys().next().value!;
    this.learnIdle(key, nowMs);
    this.visits.delete(key);
  }
}
