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
  DEFERRED_APPEND_DELAY_MS,
  MAX_APPEND_INTERVAL_MS,
  MAX_APPEND_BUDGET_WAIT_MS,
  MAX_RECORDS_PER_APPEND,
  MAX_QUEUED_RECORDS_PER_STREAM,
  MIN_BATCH_RECORDS,
  APPEND_REFUSAL_BACKOFF_INITIAL_MS,
  APPEND_REFUSAL_BACKOFF_MAX_MS,
  TARGET_BATCH_RECORDS,
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
  /** Draws the backoff jitter after refusals. @default a generator with a fixed seed */
  readonly generator?: RandomGenerator;
}

interface QueuedRecord {
  readonly value: unknown;
  readonly deferrable: boolean;
  readonly queuedAtMs: number;
  readonly resolve: (offset: LogOffset) => void;
  readonly reject: (error: unknown) => void;
}

const DEFAULT_SEED = 1;

const failAll = (batch: readonly QueuedRecord[], error: unknown): void =>
  batch.forEach((record) => record.reject(error));

/** Batches records: one append in flight at a time, at intervals adapted to the arrival rate. */
class BatchingAppender extends Appender {
  private queue: QueuedRecord[] = [];

  private timer: NodeJS.Timeout | undefined;

  private isAppending = false;

  private lastAppendAtMs = -Infinity;

  private rejectUntilMs = -Infinity;

  private readonly arrivalRate = createArrivalRate();

  private readonly backoff: Backoff;

  constructor(private readonly options: BatchingAppenderOptions) {
    super();
    this.backoff = createBackoff({
      initialMs: APPEND_REFUSAL_BACKOFF_INITIAL_MS,
      maxMs: APPEND_REFUSAL_BACKOFF_MAX_MS,
      generator: options.generator ?? xorshift128plus(DEFAULT_SEED),
    });
    options.signal?.addEventListener('abort', () => this.close(), { once: true });
  }

  override append(value: unknown, { deferrable = false }: AppendOptions = {}): Promise<LogOffset> {
    if (this.options.signal?.aborted) return Promise.reject(new LogError('closed', 'refused'));
    if (performance.now() < this.rejectUntilMs) {
      return Promise.reject(new LogError('the log refused an append just now', 'refused'));
    }
    if (this.queue.length >= MAX_QUEUED_RECORDS_PER_STREAM) {
      return Promise.reject(new LogError('too many records wait', 'refused'));
    }
    this.arrivalRate.record();
    return new Promise((resolve, reject) => {
      this.queue.push({ value, deferrable, queuedAtMs: performance.now(), resolve, reject });
      this.schedule();
    });
  }

  private close(): void {
    clearTimeout(this.timer);
    failAll(this.queue.splice(0), new LogError('closed', 'refused'));
  }

  private schedule(): void {
    if (this.isAppending || this.queue.length === 0) return;
    clearTimeout(this.timer);
    const delayMs = this.computeDueAtMs() - performance.now();
    if (delayMs <= 0) this.flush();
    else this.timer = setTimeout(() => this.flush(), Math.ceil(delayMs));
  }

  private computeDueAtMs(): number {
    const recordsPerMs = this.arrivalRate.getRatePerMs();
    // At low arrival rates, waiting for more records adds latency without saving appends.
    const isBatchingWorthwhile = recordsPerMs * MAX_APPEND_INTERVAL_MS >= MIN_BATCH_RECORDS;
    const intervalMs = isBatchingWorthwhile
      ? Math.min(MAX_APPEND_INTERVAL_MS, TARGET_BATCH_RECORDS / recordsPerMs)
      : 0;
    // A full batch gains nothing by waiting.
    if (this.queue.length >= MAX_RECORDS_PER_APPEND) return performance.now();
    const earliestAtMs = this.lastAppendAtMs + intervalMs;
    const oldest = this.queue[0];
    if (!oldest || this.queue.some((record) => !record.deferrable)) return earliestAtMs;
    return Math.max(earliestAtMs, oldest.queuedAtMs + DEFERRED_APPEND_DELAY_MS);
  }

  private flush(): void {
    clearTimeout(this.timer);
    if (this.isAppending || this.queue.length === 0) return;
    const { budget, priority } = this.options;
    if (budget && !budget.tryTake(priority)) {
      this.waitForBudget(budget.getWaitMs(priority));
      return;
    }
    this.isAppending = true;
    this.lastAppendAtMs = performance.now();
    this.sendBatch(this.queue.splice(0, MAX_RECORDS_PER_APPEND));
  }

  private waitForBudget(waitMs: number): void {
    const nowMs = performance.now();
    const isPastMaxWait = (record: QueuedRecord): boolean =>
      nowMs + waitMs - record.queuedAtMs > MAX_APPEND_BUDGET_WAIT_MS;
    const expired = this.queue.filter(isPastMaxWait);
    this.queue = this.queue.filter((record) => !isPastMaxWait(record));
    failAll(expired, new LogError('the append budget is used up', 'refused'));
    // Subsequent appends fail immediately instead of after the same wait.
    if (expired.length > 0) this.rejectUntilMs = nowMs + this.backoff.nextDelayMs();
    if (this.queue.length > 0) this.timer = setTimeout(() => this.flush(), Math.max(1, waitMs));
  }

  private async sendBatch(batch: readonly QueuedRecord[]): Promise<void> {
    try {
      const firstOffset = await this.options.stream.append(
        batch.map((record) => record.value),
        this.options.signal,
      );
      this.backoff.reset();
      batch.forEach((record, index) => record.resolve(toLogOffset(firstOffset + index)));
    } catch (error) {
      failAll(batch, error);
      if (error instanceof LogError && error.failure === 'refused') this.handleRefusal();
    } finally {
      this.isAppending = false;
      this.schedule();
    }
  }

  private handleRefusal(): void {
    this.rejectUntilMs = performance.now() + this.backoff.nextDelayMs();
    failAll(this.queue.splice(0), new LogError('the log refused an append', 'refused'));
  }
}

/** Creates an appender that batches the records of one stream. */
export const createBatchingAppender = (options: BatchingAppenderOptions): Appender =>
  new BatchingAppender(options);
