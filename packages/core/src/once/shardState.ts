import type { AttemptId } from '../ids.js';
import type { LogRecord } from '../log/index.js';
import { formatAccountKey, getKeyTimeMs, parseOnceKey } from './onceKey.js';
import type { AccountKey } from './onceKey.js';
import { onceRecordSchema } from './records.js';
import type { ClaimRecord, OutcomeRecord, ReleaseRecord, RunOutcome } from './records.js';

/** Times that every VM must fold with. */
export interface OnceWindow {
  /** Age up to which a key may run, in milliseconds. */
  readonly windowMs: number;
  /** Largest difference between clocks, in milliseconds. */
  readonly clockAllowanceMs: number;
}

/** The attempt that holds a key. */
export interface KeyHolder {
  readonly claim: ClaimRecord;
  /** Log time of the claim, in milliseconds. */
  readonly timeMs: number;
  /** Absent while it runs, and for good where its claimant died. */
  readonly outcome?: RunOutcome;
}

/** What the log's order made of a claim. */
export type ClaimDecision = 'won' | 'lost' | 'released' | 'expired' | 'future';

/** Decision on one attempt. */
export interface DecidedClaim {
  readonly attemptId: AttemptId;
  readonly decision: ClaimDecision;
}

/** Tells whether a key's time allows a run at a moment. */
export const checkKeyTime = (
  key: AccountKey['key'],
  nowMs: number,
  { windowMs, clockAllowanceMs }: OnceWindow,
): 'valid' | 'expired' | 'future' => {
  if (!parseOnceKey(key)) return 'expired';
  const ageMs = nowMs - getKeyTimeMs(key);
  if (ageMs > windowMs) return 'expired';
  return ageMs < -clockAllowanceMs ? 'future' : 'valid';
};

/** State of one shard, folded from its stream. The same records give the same state everywhere. */
export class ShardState {
  private readonly holders = new Map<string, KeyHolder>();

  /** Attempts whose release came, with its log time; a claim that surfaces later does not count. */
  private readonly released = new Map<AttemptId, number>();

  constructor(private readonly window: OnceWindow) {}

  /** Number of keys held. */
  get keyCount(): number {
    return this.holders.size;
  }

  findHolder(accountKey: AccountKey): KeyHolder | undefined {
    return this.holders.get(formatAccountKey(accountKey));
  }

  isReleased(attemptId: AttemptId): boolean {
    return this.released.has(attemptId);
  }

  /** Folds one record; gives the decision where it is a claim. */
  applyRecord(record: LogRecord): DecidedClaim | undefined {
    this.prune(record.timeMs);
    const parsed = onceRecordSchema.safeParse(record.value);
    if (!parsed.success) return undefined;
    if (parsed.data.type === 'claim') {
      const { attemptId } = parsed.data;
      return { attemptId, decision: this.applyClaim(parsed.data, record.timeMs) };
    }
    if (parsed.data.type === 'outcome') this.applyOutcome(parsed.data);
    else this.applyRelease(parsed.data, record.timeMs);
    return undefined;
  }

  private applyClaim(claim: ClaimRecord, timeMs: number): ClaimDecision {
    if (this.released.has(claim.attemptId)) return 'released';
    // A holder goes before the key's time, so that "in the future" implies that nothing has run.
    const holder = this.findHolder(claim);
    if (holder) return holder.claim.attemptId === claim.attemptId ? 'won' : 'lost';
    const time = checkKeyTime(claim.key, timeMs, this.window);
    if (time !== 'valid') return time;
    this.holders.set(formatAccountKey(claim), { claim, timeMs });
    return 'won';
  }

  private applyOutcome({ outcome, ...attempt }: OutcomeRecord): void {
    const holder = this.findHolder(attempt);
    if (holder?.claim.attemptId !== attempt.attemptId || holder.outcome) return;
    this.holders.set(formatAccountKey(attempt), { ...holder, outcome });
  }

  private applyRelease(release: ReleaseRecord, timeMs: number): void {
    const holder = this.findHolder(release);
    this.released.set(release.attemptId, timeMs);
    if (holder?.claim.attemptId !== release.attemptId || holder.outcome) return;
    this.holders.delete(formatAccountKey(release));
  }

  /** Forgets what is too old to be asked for; both maps are in the order of the log. */
  private prune(nowMs: number): void {
    const keepMs = this.window.windowMs + 2 * this.window.clockAllowanceMs;
    for (const [name, holder] of this.holders) {
      if (nowMs - holder.timeMs <= keepMs) break;
      this.holders.delete(name);
    }
    for (const [attemptId, timeMs] of this.released) {
      if (nowMs - timeMs <= keepMs) break;
      this.released.delete(attemptId);
    }
  }
}
