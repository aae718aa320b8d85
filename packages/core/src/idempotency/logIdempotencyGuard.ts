import { setMaxListeners } from 'node:events';
import type { AttemptId, BootId, VmId } from '../ids.js';
import { createBackoff, sleep } from '../log/index.js';
import type { RandomGenerator } from '../log/index.js';
import { createAttemptRegistry } from './attemptRegistry.js';
import type { Attempt, AttemptState } from './attemptRegistry.js';
import {
  ATTEMPT_STATUS_TIMEOUT_MS,
  CLAIM_VALIDITY_MS,
  MAX_CLAIM_ROUNDS,
  CLAIM_BACKOFF_INITIAL_MS,
  CLAIM_BACKOFF_MAX_MS,
  OUTCOME_WAIT_MS,
  SETTLEMENT_RETRY_LIMIT_MS,
  CLAIM_REQUEST_TIMEOUT_MS,
} from './constants.js';
import {
  createKeyExpiredError,
  createKeyInFutureError,
  createKeyReusedError,
  createOutcomeUnknownError,
  createClaimUndecidedError,
} from './claimErrors.js';
import { IdempotencyGuard } from './idempotencyGuard.js';
import type { ClaimResult, KeyedRequest, ExecutionPermit } from './idempotencyGuard.js';
import type { ClaimRecord, ReleaseRecord, ExecutionOutcome, SettlementRecord } from './records.js';
import type { ShardAccess } from './shardAccess.js';
import type { AttemptStatus, ClaimReply } from './shardMessages.js';
import { createTimeout } from './timeout.js';

/** Dependencies of a log-based guard. */
export interface LogIdempotencyGuardOptions {
  readonly access: ShardAccess;
  readonly vmId: VmId;
  readonly bootId: BootId;
  readonly generator: RandomGenerator;
  /** Stops the background work. */
  readonly signal: AbortSignal;
}

/** How a request proceeds when a competing attempt holds its key. */
type ConflictResolution =
  | { readonly type: 'repeat'; readonly outcome: ExecutionOutcome }
  | { readonly type: 'abandoned'; readonly release: ReleaseRecord }
  | { readonly type: 'changed' };

const createRelease = ({ accountId, key }: KeyedRequest, attemptId: AttemptId): ReleaseRecord => ({
  type: 'release',
  accountId,
  key,
  attemptId,
});

const failClaim = (reply: ClaimReply): never => {
  if (reply.type === 'expired') throw createKeyExpiredError();
  if (reply.type === 'future') throw createKeyInFutureError();
  throw createClaimUndecidedError(reply);
};

/** Permits execution only after the claim was read back as the first one for its key in the log. */
export class LogIdempotencyGuard extends IdempotencyGuard {
  private readonly attempts = createAttemptRegistry();

  private readonly settlements = new Set<Promise<void>>();

  constructor(private readonly options: LogIdempotencyGuardOptions) {
    super();
    // Every pending claim adds an abort listener to this signal.
    setMaxListeners(0, options.signal);
  }

  override async claim(request: KeyedRequest, signal: AbortSignal): Promise<ClaimResult> {
    let releases: ReleaseRecord[] = [];
    for (let round = 0; round < MAX_CLAIM_ROUNDS; round += 1) {
      const startedAtMs = performance.now();
      const attempt = this.attempts.register();
      const reply = await this.requestClaim(request, attempt, releases, signal);
      if (reply.type === 'won') {
        return { type: 'run', permit: this.createPermit(request, attempt, startedAtMs, signal) };
      }
      this.abandon(request, attempt, reply);
      if (reply.type !== 'held') failClaim(reply);
      else {
        const resolution = await this.resolveConflict(request, reply, signal);
        if (resolution.type === 'repeat') return resolution;
        releases = resolution.type === 'abandoned' ? [resolution.release] : [];
      }
    }
    throw createOutcomeUnknownError();
  }

  /** Returns the status of an attempt of this process; called on behalf of other VMs. */
  getAttemptStatus(attemptId: AttemptId, bootId: BootId): AttemptStatus {
    return bootId === this.options.bootId ? this.attempts.getStatus(attemptId) : { type: 'gone' };
  }

  /** Resolves once every outcome and release so far has been appended or its retries have ended. */
  async flush(): Promise<void> {
    await Promise.all(this.settlements);
  }

  /** Counts the attempts in each state. */
  countAttempts(): Readonly<Record<AttemptState, number>> {
    return this.attempts.countStates();
  }

  private async requestClaim(
    { accountId, key, digest }: KeyedRequest,
    { attemptId }: Attempt,
    releases: readonly ReleaseRecord[],
    signal: AbortSignal,
  ): Promise<ClaimReply> {
    const { access, vmId, bootId } = this.options;
    const claim: ClaimRecord = { type: 'claim', accountId, key, attemptId, digest, vmId, bootId };
    const timeout = createTimeout(CLAIM_REQUEST_TIMEOUT_MS, [signal, this.options.signal]);
    const timedOut = new Promise<ClaimReply>((resolve) => {
      const finish = (): void => resolve({ type: 'unsettled' });
      timeout.signal.addEventListener('abort', finish, { once: true });
      if (timeout.signal.aborted) finish();
    });
    try {
      const answered = access.claim({ claim, releases: [...releases] }, timeout.signal);
      return await Promise.race([answered, timedOut]);
    } catch {
      return { type: 'unsettled' };
    } finally {
      timeout.clear();
    }
  }

  /** Abandons an attempt; must happen before the caller is told that the request has not run. */
  private abandon(request: KeyedRequest, attempt: Attempt, reply: ClaimReply): void {
    attempt.abandon();
    if (reply.type === 'unsettled' || reply.type === 'won') {
      this.appendInBackground(createRelease(request, attempt.attemptId), attempt);
    } else {
      // Either nothing was appended, or the attempt has lost by log order.
      this.attempts.settle(attempt);
    }
  }

  private async resolveConflict(
    request: KeyedRequest,
    { holder, outcome }: Extract<ClaimReply, { type: 'held' }>,
    signal: AbortSignal,
  ): Promise<ConflictResolution> {
    if (holder.digest !== request.digest) throw createKeyReusedError();
    if (outcome) return { type: 'repeat', outcome };
    const status = await this.fetchAttemptStatus(holder, signal);
    if (status.type === 'done') return { type: 'repeat', outcome: status.outcome };
    if (status.type === 'gone') throw createOutcomeUnknownError();
    if (status.type === 'abandoned') {
      return { type: 'abandoned', release: createRelease(request, holder.attemptId) };
    }
    await this.waitForHolder(holder, signal);
    if (signal.aborted) throw createOutcomeUnknownError();
    return { type: 'changed' };
  }

  private async fetchAttemptStatus(
    holder: ClaimRecord,
    signal: AbortSignal,
  ): Promise<AttemptStatus> {
    if (holder.vmId === this.options.vmId) {
      return this.getAttemptStatus(holder.attemptId, holder.bootId);
    }
    const timeout = createTimeout(ATTEMPT_STATUS_TIMEOUT_MS, [signal, this.options.signal]);
    try {
      return await this.options.access.fetchAttemptStatus(holder, timeout.signal);
    } catch {
      return { type: 'gone' };
    } finally {
      timeout.clear();
    }
  }

  private async waitForHolder(holder: ClaimRecord, signal: AbortSignal): Promise<void> {
    const timeout = createTimeout(OUTCOME_WAIT_MS, [signal, this.options.signal]);
    try {
      await this.options.access.waitForChange(holder, timeout.signal);
    } catch {
      // The next claim round queries the holder again.
      await sleep(CLAIM_BACKOFF_INITIAL_MS, timeout.signal);
    } finally {
      timeout.clear();
    }
  }

  private createPermit(
    request: KeyedRequest,
    attempt: Attempt,
    startedAtMs: number,
    signal: AbortSignal,
  ): ExecutionPermit {
    const { accountId, key } = request;
    const { attemptId } = attempt;
    return {
      begin: () => {
        if (attempt.state !== 'pending') return false;
        const isExpired = performance.now() - startedAtMs > CLAIM_VALIDITY_MS;
        if (isExpired || signal.aborted || this.options.signal.aborted) {
          this.abandon(request, attempt, { type: 'won' });
          return false;
        }
        attempt.begin();
        return true;
      },
      finish: (outcome) => {
        attempt.finish(outcome);
        this.appendInBackground({ type: 'outcome', accountId, key, attemptId, outcome }, attempt);
      },
      release: () => this.abandon(request, attempt, { type: 'won' }),
    };
  }

  /** Appends a settlement record in the background, with retries. */
  private appendInBackground(record: SettlementRecord, attempt: Attempt): void {
    const settlement = this.appendWithRetries(record).finally(() => {
      this.attempts.settle(attempt);
      this.settlements.delete(settlement);
    });
    this.settlements.add(settlement);
  }

  private async appendWithRetries(record: SettlementRecord): Promise<void> {
    const { access, generator, signal } = this.options;
    const backoff = createBackoff({
      initialMs: CLAIM_BACKOFF_INITIAL_MS,
      maxMs: CLAIM_BACKOFF_MAX_MS,
      generator,
    });
    const deadlineAtMs = performance.now() + SETTLEMENT_RETRY_LIMIT_MS;
    while (!signal.aborted && performance.now() < deadlineAtMs) {
      try {
        await access.settle(record, signal);
        return;
      } catch {
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
  }
}
