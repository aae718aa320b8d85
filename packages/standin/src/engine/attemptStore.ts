import type { Attempt } from './attempt.js';
import { RESUME_WINDOW_MS } from './constants.js';

/** Running attempts, and disconnected ones that can still be resumed. */
export class AttemptStore {
  private readonly active = new Map<string, Attempt>();

  private readonly disconnected = new Map<string, { attempt: Attempt; timer: NodeJS.Timeout }>();

  get inFlight(): number {
    return this.active.size;
  }

  add(attempt: Attempt): void {
    this.active.set(attempt.request.attemptId, attempt);
  }

  /** Removes an ended attempt; a `resumable` one is kept for the resume window. */
  remove(attempt: Attempt, resumable: boolean): void {
    const { attemptId } = attempt.request;
    if (this.active.get(attemptId) === attempt) this.active.delete(attemptId);
    if (!resumable) return;
    const timer = setTimeout(() => this.disconnected.delete(attemptId), RESUME_WINDOW_MS);
    timer.unref();
    this.disconnected.set(attemptId, { attempt, timer });
  }

  /** Removes and returns a disconnected attempt, to resume it. */
  takeDisconnected(attemptId: string): Attempt | undefined {
    const entry = this.disconnected.get(attemptId);
    if (!entry) return undefined;
    clearTimeout(entry.timer);
    this.disconnected.delete(attemptId);
    return entry.attempt;
  }

  /** Finds another running attempt, as the source of a crossed answer. */
  findOther(attemptId: string): Attempt | undefined {
    return [...this.active.values()].find((attempt) => attempt.request.attemptId !== attemptId);
  }

  /** Cancels an attempt. @returns whether the attempt was known */
  cancel(attemptId: string): boolean {
    const attempt = this.active.get(attemptId);
    attempt?.abort();
    return this.takeDisconnected(attemptId) !== undefined || attempt !== undefined;
  }

  /** Aborts every attempt; none can be resumed. */
  clear(): void {
    this.active.forEach((attempt) => attempt.abort());
    this.active.clear();
    this.disconnected.forEach((entry) => clearTimeout(entry.timer));
    this.disconnected.clear();
  }
}
