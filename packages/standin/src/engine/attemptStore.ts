import type { Attempt } from './attempt.js';
import { RESUME_WINDOW_MS } from './constants.js';

/** Attempts that run, and those whose connection broke less than the resume window ago. */
export class AttemptStore {
  private readonly active = new Map<string, Attempt>();

  private readonly broken = new Map<string, { attempt: Attempt; timer: NodeJS.Timeout }>();

  get inFlight(): number {
    return this.active.size;
  }

  add(attempt: Attempt): void {
    this.active.set(attempt.request.attemptId, attempt);
  }

  /** Marks an attempt as ended; `resumable` where its connection broke. */
  remove(attempt: Attempt, resumable: boolean): void {
    const { attemptId } = attempt.request;
    if (this.active.get(attemptId) === attempt) this.active.delete(attemptId);
    if (!resumable) return;
    const timer = setTimeout(() => this.broken.delete(attemptId), RESUME_WINDOW_MS);
    timer.unref();
    this.broken.set(attemptId, { attempt, timer });
  }

  /** Takes an attempt whose connection broke, to resume it. */
  takeBroken(attemptId: string): Attempt | undefined {
    const entry = this.broken.get(attemptId);
    if (!entry) return undefined;
    clearTimeout(entry.timer);
    this.broken.delete(attemptId);
    return entry.attempt;
  }

  /** Finds another attempt, whose answer a crossed one carries. */
  findOther(attemptId: string): Attempt | undefined {
    return [...this.active.values()].find((attempt) => attempt.request.attemptId !== attemptId);
  }

  /** Cancels an attempt; tells whether it was known. */
  cancel(attemptId: string): boolean {
    const attempt = this.active.get(attemptId);
    attempt?.abort();
    return this.takeBroken(attemptId) !== undefined || attempt !== undefined;
  }

  /** Ends every attempt for good. */
  clear(): void {
    this.active.forEach((attempt) => attempt.abort());
    this.active.clear();
    this.broken.forEach((entry) => clearTimeout(entry.timer));
    this.broken.clear();
  }
}
