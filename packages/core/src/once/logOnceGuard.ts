import { setMaxListeners } from 'node:events';
import type { AttemptId, BootId, VmId } from '../ids.js';
import { createBackoff, sleep } from '../log/index.js';
import type { RandomGenerator } from '../log/index.js';
import { createAttemptRegistry } from './attemptRegistry.js';
import type { Attempt, AttemptState } from './attemptRegistry.js';
import {
  CLAIMANT_TIMEOUT_MS,
  CLAIM_USE_MS,
  MAX_CLAIM_ROUNDS,
  ONCE_BACKOFF_INITIAL_MS,
  ONCE_BACKOFF_MAX_MS,
  OUTCOME_WAIT_MS,
  SETTLEMENT_LIFETIME_MS,
  SHARD_REQUEST_TIMEOUT_MS,
} from './constants.js';
import {
  createKeyExpired,
  createKeyInFuture,
  createKeyReused,
  createOutcomeUnknown,
  createUndecided,
} from './onceErrors.js';
import { OnceGuard } from './onceGuard.js';
import type { OnceClaim, OnceRequest, RunPermit } from './onceGuard.js';
import type { ClaimRecord, ReleaseRecord, RunOutcome, SettlementRecord } from './records.js';
import type { ShardAccess } from './shardAccess.js';
import type { AttemptStatus, ClaimReply } from './shardMessages.js';
import { createTimeout } from './timeout.js';

/** What a guard needs. */
export interface LogOnceGuardOptions {
  readonly access: ShardAccess;
  readonly vmId: VmId;
  readonly bootId: BootId;
  readonly generator: RandomGenerator;
  /** Ends the background work. */
  readonly signal: AbortSignal;
}

/** What a rival's claim means for a request. */
type RivalDecision =
  | { readonly type: 'repeat'; readonly outcome: RunOutcome }
  | { readonly type: 'abandoned'; readonly release: ReleaseRecord }
  | { readonly type: 'changed' };

const createRelease = ({ accountId, key }: OnceRequest, attemptId: AttemptId): ReleaseRecord => ({
  type: 'release',
  accountId,
  key,
  attemptId,
});

const refuseReply = (reply: ClaimReply): never => {
  if (reply.type === 'expired') throw createKeyExpired();
  if (reply.type === 'future') throw createKeyInFuture();
  throw createUndecided(reply);
};

/** Lets a request run only after its claim was read back as the first one in the log. */
export class LogOnceGuard extends OnceGuard {
  private readonly attempts = createAttemptRegistry();

  private readonly settlements = new Set<Promise<void>>();

  constructor(private readonly options: LogOnceGuardOptions) {
    super();
    // Every claim listens for the end of the process.
    setMaxListeners(0, options.signal);
  }

  override async claim(request: OnceRequest, signal: AbortSignal): Promise<OnceClaim> {
    let releases: ReleaseRecord[] = [];
    for (let round = 0; round < MAX_CLAIM_ROUNDS; round += 1) {
      const startedAtMs = performance.now();
      const attempt = this.attempts.open();
      const reply = await this.requestClaim(request, attempt, releases, signal);
      if (reply.type === 'won') {
        return { type: 'run', permit: this.createPermit(request, attempt, startedAtMs, signal) };
      }
      this.abandon(request, attempt, reply);
      if (reply.type !== 'held') refuseReply(reply);
      else {
        const decision = await this.decideRival(request, reply, signal);
        if (decision.type === 'repeat') return decision;
        releases = decision.type === 'abandoned' ? [decision.release] : [];
      }
    }
    throw createOutcomeUnknown();
  }

  /** Answers another VM that asks for an attempt of this process. */
  getStatus(attemptId: AttemptId, bootId: BootId): AttemptStatus {
    return bootId === this.options.bootId ? this.attempts.getStatus(attemptId) : { type: 'gone' };
  }

  /** Resolves once every outcome and release so far is in the log or given up. */
  async flush(): Promise<void> {
    await Promise.all(this.settlements);
  }

  /** Counts the attempts in each state. */
  countAttempts(): Readonly<Record<AttemptState, number>> {
    return this.attempts.countStates();
  }

  private async requestClaim(
    { accountId, key, digest }: OnceRequest,
    { attemptId }: Attempt,
    releases: readonly ReleaseRecord[],
    signal: AbortSignal,
  ): Promise<ClaimReply> {
    const { access, vmId, bootId } = this.options;
    const claim: ClaimRecord = { type: 'claim', accountId, key, attemptId, digest, vmId, bootId };
    const timeout = createTimeout(SHARD_REQUEST_TIMEOUT_MS, [signal, this.options.signal]);
    const aborted = new Promise<ClaimReply>((resolve) => {
      const finish = (): void => resolve({ type: 'unsettled' });
      timeout.signal.addEventListener('abort', finish, { once: true });
      if (timeout.signal.aborted) finish();
    });
    try {
      const asked = access.claim({ claim, releases: [...releases] }, timeout.signal);
      return await Promise.race([asked, aborted]);
    } catch {
      return { type: 'unsettled' };
    } finally {
      timeout.clear();
    }
  }

  /** Gives an attempt up for good; must come before the caller is told that it has not run. */
  private abandon(request: OnceRequest, attempt: Attempt, reply: ClaimReply): void {
    attempt.abandon();
    if (reply.type === 'unsettled' || reply.type === 'won') {
      this.settle(createRelease(request, attempt.attemptId), attempt);
    } else {
      // Either nothing was appended or the log has decided against the attempt.
      this.attempts.settle(attempt);
    }
  }

  private async decideRival(
    request: OnceRequest,
    { holder, outcome }: Extract<ClaimReply, { type: 'held' }>,
    signal: AbortSignal,
  ): Promise<RivalDecision> {
    if (holder.digest !== request.digest) throw createKeyReused();
    if (outcome) return { type: 'repeat', outcome };
    const status = await this.askClaimant(holder, signal);
    if (status.type === 'done') return { type: 'repeat', outcome: status.outcome };
    if (status.type === 'gone') throw createOutcomeUnknown();
    if (status.type === 'abandoned') {
      return { type: 'abandoned', release: createRelease(request, holder.attemptId) };
    }
    await this.waitForRival(holder, signal);
    if (signal.aborted) throw createOutcomeUnknown();
    return { type: 'changed' };
  }

  private async askClaimant(holder: ClaimRecord, signal: AbortSignal): Promise<AttemptStatus> {
    if (holder.vmId === this.options.vmId) {
      return this.getStatus(holder.attemptId, holder.bootId);
    }
    const timeout = createTimeout(CLAIMANT_TIMEOUT_MS, [signal, this.options.signal]);
    try {
      return await this.options.access.askClaimant(holder, timeout.signal);
    } catch {
      return { type: 'gone' };
    } finally {
      timeout.clear();
    }
  }

  private async waitForRival(holder: ClaimRecord, signal: AbortSignal): Promise<void> {
    const timeout = createTimeout(OUTCOME_WAIT_MS, [signal, this.options.signal]);
    try {
      await this.options.access.waitForChange(holder, timeout.signal);
    } catch {
      // The next round asks again.
      await sleep(ONCE_BACKOFF_INITIAL_MS, timeout.signal);
    } finally {
      timeout.clear();
    }
  }

  private createPermit(
    request: OnceRequest,
    attempt: Attempt,
    startedAtMs: number,
    signal: AbortSignal,
  ): RunPermit {
    const { accountId, key } = request;
    const { attemptId } = attempt;
    return {
      begin: () => {
        if (attempt.state !== 'pending') return false;
        const isLate = performance.now() - startedAtMs > CLAIM_USE_MS;
        if (isLate || signal.aborted || this.options.signal.aborted) {
          this.abandon(request, attempt, { type: 'won' });
          return false;
        }
        attempt.begin();
        return true;
      },
      finish: (outcome) => {
        attempt.finish(outcome);
        this.settle({ type: 'outcome', accountId, key, attemptId, outcome }, attempt);
      },
      release: () => this.abandon(request, attempt, { type: 'won' }),
    };
  }

  /** Has a record appended in the background. */
  private settle(record: SettlementRecord, attempt: Attempt): void {
    const settlement = this.retrySettle(record).finally(() => {
      this.attempts.settle(attempt);
      this.settlements.delete(settlement);
    });
    this.settlements.add(settlement);
  }

  private async retrySettle(record: SettlementRecord): Promise<void> {
    const { access, generator, signal } = this.options;
    const backoff = createBackoff({
      initialMs: ONCE_BACKOFF_INITIAL_MS,
      maxMs: ONCE_BACKOFF_MAX_MS,
      generator,
    });
    const endsAtMs = performance.now() + SETTLEMENT_LIFETIME_MS;
    while (!signal.aborted && performance.now() < endsAtMs) {
      try {
        await access.settle(record, signal);
        return;
      } catch {
        await sleep(backoff.nextDelayMs(), signal);
      }
    }
  }
}
