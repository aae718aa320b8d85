import type { WorkloadId } from '../ids.js';
import type { AdmissionRequest, WaitingRequest } from './admissionRequest.js';

interface WorkloadQueue {
  readonly workloadId: WorkloadId;
  readonly waiting: WaitingRequest[];
  /**
   * Stride scheduling: virtual time of the next start, which grows by the inverse of the weight.
   */
  pass: number;
}

const getOrCreateQueue = (
  queues: WorkloadQueue[],
  { workloadId }: AdmissionRequest,
): WorkloadQueue => {
  const existing = queues.find((queue) => queue.workloadId === workloadId);
  const passes = queues.filter((one) => one.waiting.length > 0).map((one) => one.pass);
  const minPass = passes.length > 0 ? Math.min(...passes) : 0;
  // An idle workload must not accumulate credit.
  if (existing?.waiting.length === 0) existing.pass = Math.max(existing.pass, minPass);
  if (existing) return existing;
  const queue: WorkloadQueue = { workloadId, waiting: [], pass: minPass };
  queues.push(queue);
  return queue;
};

/**
 * Waiting requests of one account, by priority class and then by stride scheduling among its
 * workloads.
 */
export class WorkloadQueues {
  private readonly queuesByPriority = new Map<number, WorkloadQueue[]>();

  private waitingCount = 0;

  get size(): number {
    return this.waitingCount;
  }

  /** Highest priority class (lowest number) with waiting requests; Infinity if there are none. */
  get highestPriority(): number {
    return Math.min(Infinity, ...this.queuesByPriority.keys());
  }

  add(waitingRequest: WaitingRequest): void {
    const { priority } = waitingRequest.request;
    const queues = this.queuesByPriority.get(priority) ?? [];
    this.queuesByPriority.set(priority, queues);
    getOrCreateQueue(queues, waitingRequest.request).waiting.push(waitingRequest);
    this.waitingCount += 1;
  }

  has(waitingRequest: WaitingRequest): boolean {
    const { priority, workloadId } = waitingRequest.request;
    const queue = this.queuesByPriority.get(priority)?.find((one) => one.workloadId === workloadId);
    return queue?.waiting.includes(waitingRequest) ?? false;
  }

  /** Counts the waiting requests of the same or a higher priority class. */
  countAhead(priority: number): number {
    return [...this.queuesByPriority]
      .filter(([one]) => one <= priority)
      .flatMap(([, queues]) => queues.map((queue) => queue.waiting.length))
      .reduce((sum, length) => sum + length, 0);
  }

  /** Returns the request that starts next without removing it. */
  findNext(): WaitingRequest | undefined {
    return this.findNextQueue()?.waiting[0];
  }

  /** Removes and returns the request that starts next. */
  takeNext(): WaitingRequest | undefined {
    const queue = this.findNextQueue();
    const waitingRequest = queue?.waiting[0];
    if (!queue || !waitingRequest) return undefined;
    queue.pass += 1 / waitingRequest.request.workloadWeight;
    this.remove(waitingRequest);
    return waitingRequest;
  }

  remove(waitingRequest: WaitingRequest): void {
    const { priority, workloadId } = waitingRequest.request;
    const queues = this.queuesByPriority.get(priority);
    const queue = queues?.find((one) => one.workloadId === workloadId);
    const index = queue?.waiting.indexOf(waitingRequest) ?? -1;
    if (!queues || !queue || index < 0) return;
    queue.waiting.splice(index, 1);
    this.waitingCount -= 1;
    if (queues.every((one) => one.waiting.length === 0)) this.queuesByPriority.delete(priority);
  }

  /** Lists the waiting requests by priority class, then by workload and arrival. */
  list(): readonly WaitingRequest[] {
    return [...this.queuesByPriority]
      .sort(([left], [right]) => left - right)
      .flatMap(([, queues]) => queues.flatMap((queue) => queue.waiting));
  }

  private findNextQueue(): WorkloadQueue | undefined {
    const queues = this.queuesByPriority.get(this.highestPriority) ?? [];
    return queues
      .filter((queue) => queue.waiting.length > 0)
      .reduce<WorkloadQueue | undefined>(
        (best, queue) => (best && best.pass <= queue.pass ? best : queue),
        undefined,
      );
  }
}
