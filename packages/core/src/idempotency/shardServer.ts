import type { AttemptId, LogOffset } from '../ids.js';
import { toLogOffset } from '../ids.js';
import { LogError, createBackoff, sleep } from '../log/index.js';
import type { Appender, LogPage, LogStream, RandomGenerator } from '../log/index.js';
import {
  UNCONFIRMED_CLAIM_READ_BACK_MS,
  CLAIM_VALIDITY_MS,
  CLAIM_BACKOFF_INITIAL_MS,
  CLAIM_BACKOFF_MAX_MS,
  CLAIM_RETRY_AFTER_MS,
  SHARD_LONG_POLL_MS,
  SHARD_READ_LIMIT,
} from './constants.js';
import type { ScopedIdempotencyKey } from './idempotencyKey.js';
import type { ClaimRecord, ReleaseRecord, SettlementRecord } from './records.js';
import type { ClaimReply, ClaimRequest } from './shardMessages.js';
import { ShardState } from './shardState.js';
import type { ClaimDecision, KeyHolder, IdempotencyWindow } from './shardState.js';
import { createWaiters } from './waiters.js';

/** Dependencies of a shard server. */
export interface ShardServerOptions {
  readonly stream: LogStream;
  readonly appender: Appender;
  readonly window: IdempotencyWindow;
  readonly generator: RandomGenerator;
}

const createHeldReply = ({ claim, outcome }: KeyHolder): ClaimReply => ({
  type: 'held',
  holder: claim,
  ...(outcome ? { outcome } : {}),
});

const isReleasedBy = ({ claim, outcome }: KeyHolder, releases: readonly ReleaseRecord[]): boolean =>
  !outcome && releases.some((release) => release.attemptId === claim.attemptId);

/**
 * Serves one shard: follows its stream, appends claims for other VMs and reads them back.
 * Concurrent servers of one shard are safe, since the order of the stream decides.
 */
export class ShardServer {
  private state: ShardState;

  private nextOffset: LogOffset = toLogOffset(0);

  private hasReplayed = false;

  private isLogUnavailable = false;

  private readonly decisions = createWaiters<AttemptId, ClaimDecision>();

  private readonly settlements = createWaiters<AttemptId, true>();

  constructor(private readonly options: ShardServerOptions) {
    this.state = new ShardState(options.window);
  }

  /** Whether the stream has been applied up to its head. */
  get isReplayed(): boolean {
    return this.hasReplayed;
  }

  /** Number of keys with a holder. */
  get keyCount(): number {
    return this.state.keyCount;
  }

  /** Follows the stream until the signal aborts. */
  async follow(signal: AbortSignal): Promise<void> {
    const backoff = createBackoff({
      initialMs: CLAIM_BACKOFF_INITIAL_MS,
      maxMs: CLAIM_BACKOFF_MAX_MS,
      generator: this.options.generator,
    });
    while (!signal.aborted) {
      try {
        await this.readPage(signal);
        backoff.reset();
      } catch (error) {
        if (!(error instanceof LogError)) throw error;
        if (error.failure === 'trimmed') this.reset(error.firstOffset);
        else this.isLogUnavailable = true;
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
  }

  /** Claims a key for an attempt; a `won` or `held` reply always reflects the log. */
  async claim({ claim, releases }: ClaimRequest): Promise<ClaimReply> {
    const startedAtMs = performance.now();
    if (!this.hasReplayed) return this.createUnavailableReply();
    const holder = this.state.findHolder(claim);
    if (holder && !isReleasedBy(holder, releases)) return createHeldReply(holder);
    if (this.isLogUnavailable) return this.createUnavailableReply();
    const decision = await this.appendAndReadBack(claim, releases);
    if (decision === 'refused') return this.createUnavailableReply();
    // After a long process pause, older claims may have been trimmed before they were read.
    const isTooLate = performance.now() - startedAtMs > CLAIM_VALIDITY_MS;
    if (decision === undefined || isTooLate) return { type: 'unsettled' };
    return this.createReply(claim, decision);
  }

  /** Waits until an attempt has an outcome, is released, or the signal aborts. */
  async waitForChange(
    scopedKey: ScopedIdempotencyKey,
    attemptId: AttemptId,
    signal: AbortSignal,
  ): Promise<void> {
    const holder = this.state.findHolder(scopedKey);
    if (holder?.claim.attemptId !== attemptId || holder.outcome) return;
    await this.settlements.wait(attemptId, signal);
  }

  /**
   * Appends an outcome or a release.
   *
   * @throws LogError if the append is not confirmed; duplicates have no effect, so it may be retried
   */
  async settle(record: SettlementRecord): Promise<void> {
    await this.options.appender.append(record, { deferrable: true });
  }

  private createUnavailableReply(): ClaimReply {
    const code = this.hasReplayed ? 'log_unavailable' : 'replaying';
    return { type: 'unavailable', code, retryAfterMs: CLAIM_RETRY_AFTER_MS };
  }

  /** @returns undefined if the claim was not read back in time */
  private async appendAndReadBack(
    claim: ClaimRecord,
    releases: readonly ReleaseRecord[],
  ): Promise<ClaimDecision | 'refused' | undefined> {
    const timeoutController = new AbortController();
    const decided = this.decisions.wait(claim.attemptId, timeoutController.signal);
    const result = await this.appendClaim(claim, releases);
    if (result === 'refused') {
      timeoutController.abort();
      return result;
    }
    const readBackTimeoutMs =
      result === 'unknown' ? UNCONFIRMED_CLAIM_READ_BACK_MS : CLAIM_VALIDITY_MS;
    const timer = setTimeout(() => timeoutController.abort(), readBackTimeoutMs);
    const decision = await decided;
    clearTimeout(timer);
    return decision;
  }

  private async appendClaim(
    claim: ClaimRecord,
    releases: readonly ReleaseRecord[],
  ): Promise<'appended' | 'unknown' | 'refused'> {
    const { appender } = this.options;
    // Enqueued in this order, so that the releases precede the claim in the log.
    releases.forEach((release) => {
      appender.append(release).catch(() => undefined);
    });
    try {
      await appender.append(claim);
      return 'appended';
    } catch (error) {
      return error instanceof LogError && error.failure === 'refused' ? 'refused' : 'unknown';
    }
  }

  private createReply(claim: ClaimRecord, decision: ClaimDecision): ClaimReply {
    if (decision === 'won') return { type: 'won' };
    if (decision === 'expired' || decision === 'future') return { type: decision };
    const holder = this.state.findHolder(claim);
    return holder ? createHeldReply(holder) : { type: 'unsettled' };
  }

  private async readPage(signal: AbortSignal): Promise<void> {
    const page = await this.options.stream.read(this.nextOffset, {
      limit: SHARD_READ_LIMIT,
      waitMs: this.hasReplayed && !this.isLogUnavailable ? SHARD_LONG_POLL_MS : 0,
      signal,
    });
    this.isLogUnavailable = false;
    this.applyPage(page);
    if (this.nextOffset >= page.headOffset) this.hasReplayed = true;
  }

  private applyPage(page: LogPage): void {
    page.records.forEach((record) => {
      const decided = this.state.applyRecord(record);
      if (decided) this.decisions.resolve(decided.attemptId, decided.decision);
      else this.resolveSettlement(record.value as Partial<SettlementRecord>);
      this.nextOffset = toLogOffset(record.offset + 1);
    });
  }

  private resolveSettlement({ attemptId }: Partial<SettlementRecord>): void {
    if (attemptId) this.settlements.resolve(attemptId, true);
  }

  /** Restarts from the oldest retained record after unread records were trimmed. */
  private reset(firstOffset: LogOffset | undefined): void {
    this.state = new ShardState(this.options.window);
    this.nextOffset = firstOffset ?? toLogOffset(0);
    this.hasReplayed = false;
  }
}
