import type { BlockKey, WorkloadId } from '../ids.js';
import type { PromptBlock } from '../routing/router.js';
import { IDLE_CHECKS_PER_ACCESS, MAX_TRACKED_PROMPTS } from './constants.js';
import type { ReuseModel } from './reuseModel.js';

interface Access {
  readonly workloadId: WorkloadId;
  readonly atMs: number;
  /** Idle time that the reuse model has already counted. */
  countedIdleMs: number | undefined;
}

/** Measures the gaps between accesses to the same prompt and reports them to a reuse model. */
export class AccessTracker {
  /** Last access by last block of the prompt, the oldest first. */
  private readonly accesses = new Map<BlockKey, Access>();

  private idleCursor = this.accesses.keys();

  constructor(
    private readonly model: ReuseModel,
    private readonly maxPrompts: number = MAX_TRACKED_PROMPTS,
  ) {}

  /** Records an access; a prompt that extends an earlier one counts as its reuse. */
  recordAccess(workloadId: WorkloadId, blocks: readonly PromptBlock[]): void {
    const nowMs = Date.now();
    for (let i = blocks.length - 1; i >= 0; i -= 1) {
      const { key } = blocks[i]!;
      const previousAccess = this.accesses.get(key);
      if (previousAccess) {
        this.model.recordReuse(
          previousAccess.workloadId,
          nowMs - previousAccess.atMs,
          previousAccess.countedIdleMs,
        );
        this.accesses.delete(key);
        break;
      }
    }
    const last = blocks.at(-1);
    if (!last) return;
    this.accesses.set(last.key, { workloadId, atMs: nowMs, countedIdleMs: undefined });
    this.reportIdleBatch(nowMs);
    if (this.accesses.size > this.maxPrompts) this.dropOldest(nowMs);
  }

  /** Reports the idle time of the next few prompts in turn, so that unused prompts count as well. */
  private reportIdleBatch(nowMs: number): void {
    for (let i = 0; i < IDLE_CHECKS_PER_ACCESS; i += 1) {
      const next = this.idleCursor.next();
      if (next.done) {
        this.idleCursor = this.accesses.keys();
        return;
      }
      this.reportIdle(next.value, nowMs);
    }
  }

  private reportIdle(key: BlockKey, nowMs: number): void {
    const access = this.accesses.get(key);
    if (!access) return;
    const idleMs = nowMs - access.atMs;
    this.model.recordIdle(access.workloadId, idleMs, access.countedIdleMs);
    access.countedIdleMs = idleMs;
  }

  private dropOldest(nowMs: number): void {
    const key = this.accesses.keys().next().value!;
    this.reportIdle(key, nowMs);
    this.accesses.delete(key);
  }
}
