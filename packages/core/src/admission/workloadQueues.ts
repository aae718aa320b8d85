import type { WorkloadId } from '../ids.js';
import type { AdmissionRequest, WaitingRequest } from './admissionRequest.js';

interface WorkloadQueue {
  readonly workloadId: WorkloadId;
  readonly waiting: WaitingRequest[];
  /** Virtual time of the next start; grows by the inverse of the weight. */
  pass: number;
}

const getQueue = (queues: WorkloadQueue[], { workloadId }: AdmissionRequest): WorkloadQueue => {
  const known = queues.find((queue) => queue.workloadId === workloadId);
  const passes = queues.filter((one) => one.waiting.length > 0).map((one) => one.pass);
  const floor = passes.length > 0 ? Math.min(...passes) : 0;
  // A workload that was idle does not save up turns.
  if (known?.waiting.length === 0) known.pass = Math.max(known.pass, floor);
  if (known) return known;
  const queue: WorkloadQueue = { workloadId, waiting: [], pass: floor };
  queues.push(queue);
  return queue;
};

/** Waiting requests of one account: by priority class, then by weighted turns of its workloads. */
export class WorkloadQueues {
  private readonly classes = new Map<number, WorkloadQueue[]>();

  private count = 0;

  get size(): number {
    return this.count;
  }

  /** Gives the best priority class that waits; Infinity without one. */
  get bestPriority(): number {
    return Math.min(Infinity, ...this.classes.keys());
  }

  add(entry: WaitingRequest): void {
    const { priority } = entry.request;
    const queues = this.classes.get(priority) ?? [];
    this.classes.set(priority, queues);
    getQueue(queues, entry.request).waiting.push(entry);
    this.count += 1;
  }

  has(entry: WaitingRequest): boolean {
    const { priority, workloadId } = entry.request;
    const queue = this.classes.get(priority)?.find((one) => one.workloadId === workloadId);
    return queue?.waiting.includes(entry) ?? false;
  }

  /** Counts the requests that start before a new one of a priority class. */
  countAhead(priority: number): number {
    return [...this.classes]
      .filter(([one]) => one <= priority)
      .flatMap(([, queues]) => queues.map((queue) => queue.waiting.length))
      .reduce((sum, length) => sum + length, 0);
  }

  /** Gives the request that starts next, and leaves it there. */
  findNext(): WaitingRequest | undefined {
    return this.findNextQueue()?.waiting[0];
  }

  /** Takes the request that starts next. */
  takeNext(): WaitingRequest | undefined {
    const queue = this.findNextQueue();
    const entry = queue?.waiting[0];
    if (!queue || !entry) return undefined;
    queue.pass += 1 / entry.request.workloadWeight;
    this.remove(entry);
    return entry;
  }

  remove(entry: WaitingRequest): void {
    const { priority, workloadId } = entry.request;
    const queues = this.classes.get(priority);
    const queue = queues?.find((one) => one.workloadId === workloadId);
    const index = queue?.waiting.indexOf(entry) ?? -1;
    if (!queues || !queue || index < 0) return;
    queue.waiting.splice(index, 1);
    this.count -= 1;
    if (queues.every((one) => one.waiting.length === 0)) this.classes.delete(priority);
  }

  /** Lists the waiting requests in the order of classes and arrival. */
  list(): readonly WaitingRequest[] {
    return [...this.classes]
      .sort(([left], [right]) => left - right)
      .flatMap(([, queues]) => queues.flatMap((queue) => queue.waiting));
  }

  private findNextQueue(): WorkloadQueue | undefined {
    const queues = this.classes.get(this.bestPriority) ?? [];
    return queues
      .filter((queue) => queue.waiting.length > 0)
      .reduce<WorkloadQueue | undefined>(
        (best, queue) => (best && best.pass <= queue.pass ? best : queue),
        undefined,
      );
  }
}
