import { LogTrimmedError, SharedLog } from '../ports/index.js';
import type {
  AppendedRecord,
  KeyedRecord,
  LogBatch,
  LogReadOptions,
  LogSnapshot,
  LogTopic,
} from '../ports/index.js';

/** Time that a message takes one way, in milliseconds. */
export const TRANSIT_MS = 3;

/** Time after which a call to a log that doesn't answer fails, in milliseconds. */
const UNREACHABLE_MS = 600;

const pause = (durationMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });

/** The log as one VM sees it; the records are shared by all VMs. */
export class SimulatedLog extends SharedLog {
  isCut = false;

  /** Whether a call fails at once while the log is cut off, rather than after a timeout. */
  isResetting = false;

  readonly readsAtMs: number[] = [];

  /** First offsets of topics whose older records were trimmed. */
  readonly firstOffsets = new Map<LogTopic, number>();

  constructor(private readonly topics: Map<LogTopic, KeyedRecord[]>) {
    super();
  }

  override async readSnapshot(topic: LogTopic): Promise<LogSnapshot> {
    await this.reach();
    const records = [...this.getRecords(topic)];
    const newest = new Map(records.map((record) => [record.key, record]));
    return {
      era: 1,
      records: [...newest.values()].filter(({ value }) => value !== undefined),
      endOffset: records.length,
    };
  }

  override async read(topic: LogTopic, from: number, options: LogReadOptions): Promise<LogBatch> {
    const startedAtMs = performance.now();
    this.readsAtMs.push(startedAtMs);
    await this.reach();
    const firstOffset = this.firstOffsets.get(topic) ?? 0;
    if (from < firstOffset) throw new LogTrimmedError('trimmed', firstOffset);
    const isEmpty = (): boolean => this.getRecords(topic).length <= from;
    while (isEmpty() && performance.now() - startedAtMs < options.longPollMs) await pause(10);
    if (this.isCut) await this.reach();
    const records = this.getRecords(topic).slice(from);
    await pause(TRANSIT_MS);
    const nextOffset = from + records.length;
    return { era: 1, records, nextOffset, endOffset: nextOffset };
  }

  override async append(topic: LogTopic, records: readonly KeyedRecord[]): Promise<void> {
    await this.reach();
    this.topics.set(topic, [...this.getRecords(topic), ...records]);
  }

  override async appendAt(): Promise<AppendedRecord | undefined> {
    throw new Error('not used');
  }

  override close(): void {
    // Nothing to close.
  }

  private getRecords(topic: LogTopic): readonly KeyedRecord[] {
    return this.topics.get(topic) ?? [];
  }

  private async reach(): Promise<void> {
    await pause(this.isCut && !this.isResetting ? UNREACHABLE_MS : TRANSIT_MS);
    if (this.isCut) throw new Error('log not reached');
  }
}
