interface QueuedEvent {
  readonly atMs: number;
  readonly order: number;
  readonly run: () => void;
}

const isBefore = (left: QueuedEvent, right: QueuedEvent): boolean =>
  left.atMs < right.atMs || (left.atMs === right.atMs && left.order < right.order);

/** Runs events in the order of their times; a binary heap, since a fleet schedules many. */
export class EventQueue {
  nowMs = 0;

  private readonly heap: QueuedEvent[] = [];

  private order = 0;

  schedule(delayMs: number, run: () => void): void {
    this.order += 1;
    this.heap.push({ atMs: this.nowMs + delayMs, order: this.order, run });
    for (let index = this.heap.length - 1; index > 0;) {
      const parent = Math.floor((index - 1) / 2);
      if (!isBefore(this.heap[index]!, this.heap[parent]!)) return;
      this.swap(index, parent);
      index = parent;
    }
  }

  /** Runs all events up to a time. */
  advanceTo(untilMs: number): void {
    for (let next = this.heap[0]; next && next.atMs <= untilMs; [next] = this.heap) {
      this.removeFirst();
      this.nowMs = next.atMs;
      next.run();
    }
    this.nowMs = untilMs;
  }

  private removeFirst(): void {
    const last = this.heap.pop()!;
    if (this.heap.length === 0) return;
    this.heap[0] = last;
    for (let index = 0; ;) {
      const [left, right] = [2 * index + 1, 2 * index + 2];
      let first = index;
      if (this.heap[left] && isBefore(this.heap[left], this.heap[first]!)) first = left;
      if (this.heap[right] && isBefore(this.heap[right], this.heap[first]!)) first = right;
      if (first === index) return;
      this.swap(index, first);
      index = first;
    }
  }

  private swap(left: number, right: number): void {
    [this.heap[left], this.heap[right]] = [this.heap[right]!, this.heap[left]!];
  }
}
