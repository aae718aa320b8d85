import FakeTimers from '@sinonjs/fake-timers';
import type { Clock } from '@sinonjs/fake-timers';
import { Heap } from './heap.js';

interface ScheduledAction {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

const isBefore = (left: ScheduledAction, right: ScheduledAction): boolean =>
  left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/** Discrete-event scheduler: runs actions in order of time on a fake clock. */
export class EventQueue {
  private readonly heap = new Heap<ScheduledAction>(isBefore);

  private scheduledCount = 0;

  private readonly clock: Clock;

  constructor(startMs: number) {
    this.clock = FakeTimers.install({ now: startMs, toFake: ['Date', 'performance'] });
  }

  /** Schedules an action after a delay in milliseconds. */
  schedule(delayMs: number, action: () => void): void {
    this.scheduledCount += 1;
    const atMs = Date.now() + Math.max(0, Math.ceil(delayMs));
    this.heap.add({ atMs, order: this.scheduledCount, action });
  }

  /** Runs all actions up to a point in time; later ones stay in the queue. */
  runUntil(endMs: number): void {
    for (let next = this.heap.first; next && next.atMs <= endMs; next = this.heap.first) {
      this.heap.take();
      this.clock.tick(next.atMs - Date.now());
      next.action();
    }
  }

  /** Restores the real clock. */
  close(): void {
    this.clock.uninstall();
  }
}
