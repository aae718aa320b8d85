import type { BlockKey, WorkloadId } from '../ids.js';
import type { PromptBlock } from '../routing/router.js';
import { MAX_TRACKED_CHAINS } from './constants.js';
import type { ReturnModel } from './returnModel.js';

interface Visit {
  readonly workloadId: WorkloadId;
  readonly atMs: number;
}

/** Finds the gaps between visits of the same prompt and teaches them to a return model. */
export class VisitTracker {
  /** Last visits by the last block of the prompt, the oldest first. */
  private readonly visits = new Map<BlockKey, Visit>();

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
        this.model.learnReturn(earlier.workloadId, nowMs - earlier.atMs);
        this.visits.delete(key);
        break;
      }
    }
    const last = blocks.at(-1);
    if (!last) return;
    this.visits.set(last.key, { workloadId, atMs: nowMs });
    if (this.visits.size > this.maxChains) this.dropOldest(nowMs);
  }

  private dropOldest(nowMs: number): void {
    const [key, visit] = this.visits.entries().next().value!;
    this.visits.delete(key);
    this.model.learnLoss(visit.workloadId, nowMs - visit.atMs);
  }
}
