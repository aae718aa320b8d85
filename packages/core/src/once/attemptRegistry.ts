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

  get state(): AttemptState {
    return this.current;
  }

  get outcome(): RunOutcome | undefined {
    return this.runOutcome;
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
}

/** The attempts of this process; lost with it on purpose. */
export interface AttemptRegistry {
  open(): Attempt;
  /** Notes that the log holds the end of an attempt, or that nobody needs to ask for it. */
  settle(attempt: Attempt): void;
  getStatus(attemptId: AttemptId): AttemptStatus;
  /** Counts the attempts in each state. */
  countStates(): Readonly<Record<AttemptState, number>>;
}

/** Creates an empty registry. */
export const createAttemptRegistry = (): AttemptRegistry => {
  const attempts = new Map<AttemptId, Attempt>();
  /** Settled attempts in the order in which they were settled. */
  const settled: { readonly attemptId: AttemptId; readonly atMs: number }[] = [];
  const prune = (): void => {
    const beforeMs = performance.now() - SETTLED_ATTEMPT_MEMORY_MS;
    const kept = settled.findIndex(({ atMs }) => atMs >= beforeMs);
    const dropped = settled.splice(0, kept < 0 ? settled.length : kept);
    dropped.forEach(({ attemptId }) => attempts.delete(attemptId));
  };
  return {
    open() {
      prune();
      const attempt = new Attempt();
      attempts.set(attempt.attemptId, attempt);
      return attempt;
    },
    settle({ attemptId }) {
      settled.push({ attemptId, atMs: performance.now() });
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
