import type { AttemptId } from '../ids.js';
import type { LogRecord } from '../log/index.js';
import { formatScopedKey, getKeyTimestampMs, parseIdempotencyKey } from './idempotencyKey.js';
import type { ScopedIdempotencyKey } from './idempotencyKey.js';
import { shardRecordSchema } from './records.js';
import type { ClaimRecord, OutcomeRecord, ReleaseRecord, ExecutionOutcome } from './records.js';

/** Time limits; every VM must apply records with the same values. */
export interface IdempotencyWindow {
  /** Maximum age of a key that may still be executed, in milliseconds. */
  readonly windowMs: number;
  /** Maximum clock skew, in milliseconds. */
  readonly maxClockSkewMs: number;
}

/** The attempt that holds a key. */
export interface KeyHolder {
  readonly claim: ClaimRecord;
  /** Log timestamp of the claim, in milliseconds. */
  readonly claimedAtMs: number;
  /** Absent while the attempt runs, and permanently if its claimant died. */
  readonly outcome?: ExecutionOutcome;
}

/** Result of a claim, determined by log order. */
export type ClaimDecision = 'won' | 'lost' | 'released' | 'expired' | 'future';

/** The decision on one attempt's claim. */
export interface DecidedClaim {
  readonly attemptId: AttemptId;
  readonly decision: ClaimDecision;
}

/** Checks whether a key's timestamp permits execution at the given time. */
export const checkKeyTimestamp = (
  key: ScopedIdempotencyKey['key'],
  nowMs: number,
  { windowMs, maxClockSkewMs }: IdempotencyWindow,
): 'valid' | 'expired' | 'future' => {
  if (!parseIdempotencyKey(key)) return 'expired';
  const ageMs = nowMs - getKeyTimestampMs(key);
  if (ageMs > windowMs) return 'expired';
  return ageMs < -maxClockSkewMs ? 'future' : 'valid';
};

/** State machine of one shard. Applying the same records gives the same state on every VM. */
export class ShardState {
  private readonly holders = new Map<string, KeyHolder>();

  /** Log timestamps of released attempts; a claim of such an attempt that arrives later is ignored. */
  private readonly releasedAtMs = new Map<AttemptId, number>();

  constructor(private readonly window: IdempotencyWindow) {}

  /** Number of keys with a holder. */
  get keyCount(): number {
    return this.holders.size;
  }

  findHolder(scopedKey: ScopedIdempotencyKey): KeyHolder | undefined {
    return this.holders.get(formatScopedKey(scopedKey));
  }

  isReleased(attemptId: AttemptId): boolean {
    return this.releasedAtMs.has(attemptId);
  }

  /** Applies one record; returns the decision if the record is a claim. */
  applyRecord(record: LogRecord): DecidedClaim | undefined {
    this.prune(record.timeMs);
    const parsed = shardRecordSchema.safeParse(record.value);
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
    if (this.releasedAtMs.has(claim.attemptId)) return 'released';
    // Checked before the key's timestamp, so that `future` implies that nothing has run.
    const holder = this.findHolder(claim);
    if (holder) return holder.claim.attemptId === claim.attemptId ? 'won' : 'lost';
    const validity = checkKeyTimestamp(claim.key, timeMs, this.window);
    if (validity !== 'valid') return validity;
    this.holders.set(formatScopedKey(claim), { claim, claimedAtMs: timeMs });
    return 'won';
  }

  private applyOutcome({ outcome, ...attempt }: OutcomeRecord): void {
    const holder = this.findHolder(attempt);
    if (holder?.claim.attemptId !== attempt.attemptId || holder.outcome) return;
    this.holders.set(formatScopedKey(attempt), { ...holder, outcome });
  }

  private applyRelease(release: ReleaseRecord, timeMs: number): void {
    const holder = this.findHolder(release);
    this.releasedAtMs.set(release.attemptId, timeMs);
    if (holder?.claim.attemptId !== release.attemptId || holder.outcome) return;
    this.holders.delete(formatScopedKey(release));
  }

  /** Removes entries past their retention; both maps are ordered by log time. */
  private prune(nowMs: number): void {
    const retentionMs = this.window.windowMs + 2 * this.window.maxClockSkewMs;
    for (const [scopedKey, holder] of this.holders) {
      if (nowMs - holder.claimedAtMs <= retentionMs) break;
      this.holders.delete(scopedKey);
    }
    for (const [attemptId, timeMs] of this.releasedAtMs) {
      if (nowMs - timeMs <= retentionMs) break;
      this.releasedAtMs.delete(attemptId);
    }
  }
}
