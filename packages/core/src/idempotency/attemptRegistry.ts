import { randomUUID } from 'node:crypto';
import { toId } from '../ids.js';
import type { AttemptId } from '../ids.js';
import { SETTLED_ATTEMPT_RETENTION_MS } from './constants.js';
import type { ExecutionOutcome } from './records.js';
import type { AttemptStatus } from './shardMessages.js';

/** State of an attempt; only a pending attempt may start executing. */
export type AttemptState = 'pending' | 'running' | 'abandoned' | 'done';

/** One attempt of this process to execute a non-idempotent request. */
export class Attempt {
  readonly attemptId = toId<AttemptId>(randomUUID());

  private currentState: AttemptState = 'pending';

  private finalOutcome: ExecutionOutcome | undefined;

  get state(): AttemptState {
    return this.currentState;
  }

  get outcome(): ExecutionOutcome | undefined {
    return this.finalOutcome;
  }

  begin(): void {
    this.currentState = 'running';
  }

  /** Abandons the attempt permanently. */
  abandon(): void {
    this.currentState = 'abandoned';
  }

  finish(outcome: ExecutionOutcome): void {
    this.currentState = 'done';
    this.finalOutcome = outcome;
  }
}

/** In-memory registry of this process's attempts; deliberately not persisted across restarts. */
export interface AttemptRegistry {
  register(): Attempt;
  /** Marks an attempt as settled: its result is in the log, or no other VM needs its status. */
  settle(attempt: Attempt): void;
  getStatus(attemptId: AttemptId): AttemptStatus;
  /** Counts the attempts in each state. */
  countStates(): Readonly<Record<AttemptState, number>>;
}

/** Creates an empty registry. */
export const createAttemptRegistry = (): AttemptRegistry => {
  const attempts = new Map<AttemptId, Attempt>();
  /** Settled attempts, oldest first. */
  const settledAttempts: { readonly attemptId: AttemptId; readonly atMs: number }[] = [];
  const prune = (): void => {
    const cutoffMs = performance.now() - SETTLED_ATTEMPT_RETENTION_MS;
    const firstRetained = settledAttempts.findIndex(({ atMs }) => atMs >= cutoffMs);
    const expired = settledAttempts.splice(
      0,
      firstRetained < 0 ? settledAttempts.length : firstRetained,
    );
    expired.forEach(({ attemptId }) => attempts.delete(attemptId));
  };
  return {
    register() {
      prune();
      const attempt = new Attempt();
      attempts.set(attempt.attemptId, attempt);
      return attempt;
    },
    settle({ attemptId }) {
      settledAttempts.push({ attemptId, atMs: performance.now() });
    },
    getStatus(attemptId) {
      const attempt = attempts.get(attemptId);
      if (!attempt) return { type: 'gone' };
      if (attempt.outcome) return { type: 'done', outcome: attempt.outcome };
      return { type: attempt.state === 'abandoned' ? 'abandoned' : 'active' };
    },
    countStates() {
      const counts = { pending: 0, running: 0, abandoned: 0, done: 0 };
      attempts.forEach(({ state }) => {
        counts[state] += 1;
      });
      return counts;
    },
  };
};
