import type { AttemptId, LogOffset } from '../ids.js';
import { toLogOffset } from '../ids.js';
import { LogError, createBackoff, sleep } from '../log/index.js';
import type { Appender, LogPage, LogStream, RandomGenerator } from '../log/index.js';
import {
  CLAIM_SETTLE_MS,
  CLAIM_USE_MS,
  ONCE_BACKOFF_INITIAL_MS,
  ONCE_BACKOFF_MAX_MS,
  ONCE_RETRY_AFTER_MS,
  SHARD_POLL_WAIT_MS,
  SHARD_READ_LIMIT,
} from './constants.js';
import type { AccountKey } from './onceKey.js';
import type { ClaimRecord, ReleaseRecord, SettlementRecord } from './records.js';
import type { ClaimReply, ClaimRequest } from './shardMessages.js';
import { ShardState } from './shardState.js';
import type { ClaimDecision, KeyHolder, OnceWindow } from './shardState.js';
import { createWaiters } from './waiters.js';

/** What the server of a shard needs. */
export interface ShardServerOptions {
  readonly stream: LogStream;
  readonly appender: Appender;
  readonly window: OnceWindow;
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
 * Two servers of one shard do no harm, since the stream's order decides.
 */
export class ShardServer {
  private state: ShardState;

  private nextOffset: LogOffset = toLogOffset(0);

  private replayed = false;

  private logDown = false;

  private readonly decisions = createWaiters<AttemptId, ClaimDecision>();

  private readonly changes = createWaiters<AttemptId, true>();

  constructor(private readonly options: ShardServerOptions) {
    this.state = new ShardState(options.window);
  }

  /** Whether the stream was folded up to its head. */
  get isReplayed(): boolean {
    return this.replayed;
  }

  /** Number of keys held. */
  get keyCount(): number {
    return this.state.keyCount;
  }

  /** Follows the stream until the signal aborts. */
  async follow(signal: AbortSignal): Promise<void> {
    const backoff = createBackoff({
      initialMs: ONCE_BACKOFF_INITIAL_MS,
      maxMs: ONCE_BACKOFF_MAX_MS,
      generator: this.options.generator,
    });
    while (!signal.aborted) {
      try {
        await this.readNext(signal);
        backoff.reset();
      } catch (error) {
        if (!(error instanceof LogError)) throw error;
        if (error.failure === 'trimmed') this.reset(error.firstOffset);
        else this.logDown = true;
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
  }

  /** Claims a key for an attempt; answers only what the log has decided. */
  async claim({ claim, releases }: ClaimRequest): Promise<ClaimReply> {
    const askedAtMs = performance.now();
    if (!this.replayed) return this.createUnavailable();
    const holder = this.state.findHolder(claim);
    if (holder && !isReleasedBy(holder, releases)) return createHeldReply(holder);
    if (this.logDown) return this.createUnavailable();
    const decision = await this.decideByLog(claim, releases);
    if (decision === 'refused') return this.createUnavailable();
    // A process that was paused may have read a stream from which older claims were trimmed.
    const isTooLate = performance.now() - askedAtMs > CLAIM_USE_MS;
    if (decision === undefined || isTooLate) return { type: 'unsettled' };
    return this.createReply(claim, decision);
  }

  /** Waits until an attempt has an outcome or is released, or the signal aborts. */
  async waitForChange(
    accountKey: AccountKey,
    attemptId: AttemptId,
    signal: AbortSignal,
  ): Promise<void> {
    const holder = this.state.findHolder(accountKey);
    if (holder?.claim.attemptId !== attemptId || holder.outcome) return;
    await this.changes.wait(attemptId, signal);
  }

  /**
   * Appends an outcome or a release.
   *
   * @throws LogError where that is not known; a second copy changes nothing, so it may be repeated
   */
  async settle(record: SettlementRecord): Promise<void> {
    await this.options.appender.append(record, { deferrable: true });
  }

  private createUnavailable(): ClaimReply {
    const code = this.replayed ? 'log_unavailable' : 'replaying';
    return { type: 'unavailable', code, retryAfterMs: ONCE_RETRY_AFTER_MS };
  }

  /** @returns undefined where the claim was not read back in time */
  private async decideByLog(
    claim: ClaimRecord,
    releases: readonly ReleaseRecord[],
  ): Promise<ClaimDecision | 'refused' | undefined> {
    const waiting = new AbortController();
    const decided = this.decisions.wait(claim.attemptId, waiting.signal);
    const result = await this.appendClaim(claim, releases);
    if (result === 'refused') {
      waiting.abort();
      return result;
    }
    const settleMs = result === 'unknown' ? CLAIM_SETTLE_MS : CLAIM_USE_MS;
    const timer = setTimeout(() => waiting.abort(), settleMs);
    const decision = await decided;
    clearTimeout(timer);
    return decision;
  }

  private async appendClaim(
    claim: ClaimRecord,
    releases: readonly ReleaseRecord[],
  ): Promise<'appended' | 'unknown' | 'refused'> {
    const { appender } = this.options;
    // Queued in this order, so that the releases come before the claim in the log.
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

  private async readNext(signal: AbortSignal): Promise<void> {
    const page = await this.options.stream.read(this.nextOffset, {
      limit: SHARD_READ_LIMIT,
      waitMs: this.replayed && !this.logDown ? SHARD_POLL_WAIT_MS : 0,
      signal,
    });
    this.logDown = false;
    this.foldPage(page);
    if (this.nextOffset >= page.headOffset) this.replayed = true;
  }

  private foldPage(page: LogPage): void {
    page.records.forEach((record) => {
      const decided = this.state.applyRecord(record);
      if (decided) this.decisions.resolve(decided.attemptId, decided.decision);
      else this.noteSettlement(record.value as Partial<SettlementRecord>);
      this.nextOffset = toLogOffset(record.offset + 1);
    });
  }

  private noteSettlement({ attemptId }: Partial<SettlementRecord>): void {
    if (attemptId) this.changes.resolve(attemptId, true);
  }

  /** Begins again where records were trimmed before they were read. */
  private reset(firstOffset: LogOffset | undefined): void {
    this.state = new ShardState(this.options.window);
    this.nextOffset = firstOffset ?? toLogOffset(0);
    this.replayed = false;
  }
}
