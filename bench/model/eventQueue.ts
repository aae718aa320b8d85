import FakeTimers from '@sinonjs/fake-timers';
import type { Clock } from '@sinonjs/fake-timers';
import { Heap } from './heap.js';

interface Scheduled {
  readonly atMs: number;
  readonly order: number;
  readonly action: () => void;
}

const isBefore = (left: Scheduled, right: Scheduled): boolean =>
  left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/** Virtual time: runs actions in order and sets the runtime's clock to each one's time. */
export class EventQueue {
  private readonly heap = new Heap<Scheduled>(isBefore);

  private scheduled = 0;

  private readonly clock: Clock;

  constructor(startMs: number) {
    this.clock = FakeTimers.install({ now: startMs, toFake: ['Date', 'performance'] });
  }

  /** Schedules an action after a delay in milliseconds. */
  schedule(delayMs: number, action: () => void): void {
    this.scheduled += 1;
    const atMs = Date.now() + Math.max(0, Math.ceil(delayMs));
    this.heap.add({ atMs, order: this.scheduled, action });
  }

  /** Runs until a time of the runtime's clock; later actions are dropped with the queue. */
  runUntil(endMs: number): void {
    for (let next = this.heap.first; next && next.atMs <= endMs; next = this.heap.first) {
      this.heap.take();
      this.clock.tick(next.atMs - Date.now());
      next.action();
    }
  }

  /** Gives the runtime its own clock back. */
  close(): void {
    this.clock.uninstall();
  }
}
