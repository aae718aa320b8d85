import { randomUUID } from 'node:crypto';
import { toId } from '../ids.js';
import type { AttemptId } from '../ids.js';
import { SETTLED_ATTEMPT_MEMORY_MS } from './constants.js';
import type { RunOutcome } from './records.js';
import type { AttemptStatus } from './shardMessages.js';

/** State of an attempt; only a pending one may begin to run. */
export type AttemptState = 'pending' | 'running' | 'abandoned' | 'done';

/** One attempt of this process at an unrepeatable request. */
export class Attempt {
  readonly attemptId = toId<AttemptId>(randomUUID());

  private current: AttemptState = 'pending';

  private runOutcome: RunOutcome | undefined;

  private settledAt: number | undefined;

  get state(): AttemptState {
    return this.current;
  }

  get outcome(): RunOutcome | undefined {
    return this.runOutcome;
  }

  /** Time since which nobody needs to ask for it, by the monotonic clock, in milliseconds. */
  get settledAtMs(): number | undefined {
    return this.settledAt;
  }

  begin(): void {
    this.current = 'running';
  }

  /** Gives it up for good. */
  abandon(): void {
    this.current = 'abandoned';
  }

  finish(outcome: RunOutcome): void {
    this.current = 'done';
    this.runOutcome = outcome;
  }

  markSettled(): void {
    this.settledAt = performance.now();
  }
}

/** The attempts of this process; lost with it on purpose. */
export interface AttemptRegistry {
  open(): Attempt;
  getStatus(attemptId: AttemptId): AttemptStatus;
  /** Counts the attempts in each state. */
  countStates(): Readonly<Record<AttemptState, number>>;
}

/** Creates an empty registry. */
export const createAttemptRegistry = (): AttemptRegistry => {
  const attempts = new Map<AttemptId, Attempt>();
  const prune = (): void => {
    const nowMs = performance.now();
    for (const [attemptId, { settledAtMs }] of attempts) {
      if (settledAtMs === undefined || nowMs - settledAtMs < SETTLED_ATTEMPT_MEMORY_MS) break;
      attempts.delete(attemptId);
    }
  };
  return {
    open() {
      prune();
      const attempt = new Attempt();
      attempts.set(attempt.attemptId, attempt);
      return attempt;
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
