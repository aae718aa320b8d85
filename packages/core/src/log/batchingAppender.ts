import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';
import { toLogOffset } from '../ids.js';
import type { LogOffset } from '../ids.js';
import type { AppendBudget, AppendPriority } from './appendBudget.js';
import { Appender } from './appender.js';
import type { AppendOptions } from './appender.js';
import { createArrivalRate } from './arrivalRate.js';
import { createBackoff } from './backoff.js';
import type { Backoff, RandomGenerator } from './backoff.js';
import {
  LAZY_APPEND_DELAY_MS,
  MAX_APPEND_SPACING_MS,
  MAX_BUDGET_WAIT_MS,
  MAX_GROUP_RECORDS,
  MAX_QUEUED_RECORDS,
  MIN_GROUP_RECORDS,
  REFUSAL_BACKOFF_INITIAL_MS,
  REFUSAL_BACKOFF_MAX_MS,
  TARGET_GROUP_RECORDS,
} from './constants.js';
import { LogError } from './logError.js';
import type { LogStream } from './logStream.js';

/** Settings of a batching appender. */
export interface BatchingAppenderOptions {
  readonly stream: LogStream;
  readonly priority: AppendPriority;
  /** Budget shared with the VM's other streams. @default unlimited */
  readonly budget?: AppendBudget;
  readonly signal?: AbortSignal;
  /** Draws the back-off after refusals. @default a generator with a fixed seed */
  readonly generator?: RandomGenerator;
}

interface QueuedRecord {
  readonly value: unknown;
  readonly lazy: boolean;
  readonly queuedAtMs: number;
  readonly resolve: (offset: LogOffset) => void;
  readonly reject: (error: unknown) => void;
}

const DEFAULT_SEED = 1;

const refuseAll = (group: readonly QueuedRecord[], error: unknown): void =>
  group.forEach((record) => record.reject(error));

/** Puts records into groups: one append at a time, spaced by how fast records arrive. */
class BatchingAppender extends Appender {
  private queue: QueuedRecord[] = [];

  private timer: NodeJS.Timeout | undefined;

  private inFlight = false;

  private lastAppendAtMs = -Infinity;

  private refuseUntilMs = -Infinity;

  private readonly arrivals = createArrivalRate();

  private readonly backoff: Backoff;

  constructor(private readonly options: BatchingAppenderOptions) {
    super();
    this.backoff = createBackoff({
      initialMs: REFUSAL_BACKOFF_INITIAL_MS,
      maxMs: REFUSAL_BACKOFF_MAX_MS,
      generator: options.generator ?? xorshift128plus(DEFAULT_SEED),
    });
    options.signal?.addEventListener('abort', () => this.close(), { once: true });
  }

  override append(value: unknown, { lazy = false }: AppendOptions = {}): Promise<LogOffset> {
    if (this.options.signal?.aborted) return Promise.reject(new LogError('closed', 'refused'));
    if (performance.now() < this.refuseUntilMs) {
      return Promise.reject(new LogError('the log refused an append just now', 'refused'));
    }
    if (this.queue.length >= MAX_QUEUED_RECORDS) {
      return Promise.reject(new LogError('too many records wait', 'refused'));
    }
    this.arrivals.note();
    return new Promise((resolve, reject) => {
      this.queue.push({ value, lazy, queuedAtMs: performance.now(), resolve, reject });
      this.schedule();
    });
  }

  private close(): void {
    clearTimeout(this.timer);
    refuseAll(this.queue.splice(0), new LogError('closed', 'refused'));
  }

  private schedule(): void {
    if (this.inFlight || this.queue.length === 0) return;
    clearTimeout(this.timer);
    const delayMs = this.computeDueAtMs() - performance.now();
    if (delayMs <= 0) this.flush();
    else this.timer = setTimeout(() => this.flush(), Math.ceil(delayMs));
  }

  private computeDueAtMs(): number {
    const perMs = this.arrivals.getPerMs();
    // Where few records arrive, waiting for more of them costs time and saves nothing.
    const isWorthwhile = perMs * MAX_APPEND_SPACING_MS >= MIN_GROUP_RECORDS;
    const spacingMs = isWorthwhile
      ? Math.min(MAX_APPEND_SPACING_MS, TARGET_GROUP_RECORDS / perMs)
      : 0;
    // A group that is full already gains nothing by waiting.
    if (this.queue.length >= MAX_GROUP_RECORDS) return performance.now();
    const spacedAtMs = this.lastAppendAtMs + spacingMs;
    const oldest = this.queue[0];
    if (!oldest || this.queue.some((record) => !record.lazy)) return spacedAtMs;
    return Math.max(spacedAtMs, oldest.queuedAtMs + LAZY_APPEND_DELAY_MS);
  }

  private flush(): void {
    clearTimeout(this.timer);
    if (this.inFlight || this.queue.length === 0) return;
    const { budget, priority } = this.options;
    if (budget && !budget.tryTake(priority)) {
      this.waitForBudget(budget.getWaitMs(priority));
      return;
    }
    this.inFlight = true;
    this.lastAppendAtMs = performance.now();
    this.sendGroup(this.queue.splice(0, MAX_GROUP_RECORDS));
  }

  private waitForBudget(waitMs: number): void {
    const nowMs = performance.now();
    const isTooLate = (record: QueuedRecord): boolean =>
      nowMs + waitMs - record.queuedAtMs > MAX_BUDGET_WAIT_MS;
    const refused = this.queue.filter(isTooLate);
    this.queue = this.queue.filter((record) => !isTooLate(record));
    refuseAll(refused, new LogError('the append budget is used up', 'refused'));
    // Those that come next are told at once instead of after the same wait.
    if (refused.length > 0) this.refuseUntilMs = nowMs + this.backoff.nextDelayMs();
    if (this.queue.length > 0) this.timer = setTimeout(() => this.flush(), Math.max(1, waitMs));
  }

  private async sendGroup(group: readonly QueuedRecord[]): Promise<void> {
    try {
      const first = await this.options.stream.append(
        group.map((record) => record.value),
        this.options.signal,
      );
      this.backoff.reset();
      group.forEach((record, index) => record.resolve(toLogOffset(first + index)));
    } catch (error) {
      refuseAll(group, error);
      if (error instanceof LogError && error.failure === 'refused') this.noteRefusal();
    } finally {
      this.inFlight = false;
      this.schedule();
    }
  }

  private noteRefusal(): void {
    this.refuseUntilMs = performance.now() + this.backoff.nextDelayMs();
    refuseAll(this.queue.splice(0), new LogError('the log refused an append', 'refused'));
  }
}

/** Creates the appender of one stream that puts records into groups. */
export const createBatchingAppender = (options: BatchingAppenderOptions): Appender =>
  new BatchingAppender(options);
