import { createLogger } from '@goldcrestscale/runtime';
import { TopicReader } from '../controllers/topicReader.js';
import { SharedLog } from '../ports/index.js';
import type { AppendedRecord, KeyedRecord, LogBatch, LogSnapshot } from '../ports/index.js';

const logger = createLogger({ part: 'test', level: 'error', format: 'json' });

/** Makes a record of a key. */
export const makeRecord = (key: string): KeyedRecord => ({ key, value: Buffer.from('1') });

/** A log with scripted responses. */
export class ScriptedLog extends SharedLog {
  readonly responses: (Error | LogBatch)[] = [];

  readonly reads: number[] = [];

  snapshot: LogSnapshot = { records: [makeRecord('first')], endOffset: 10, era: 1 };

  override async readSnapshot(): Promise<LogSnapshot> {
    return this.snapshot;
  }

  override async read(_topic: string, from: number): Promise<LogBatch> {
    this.reads.push(from);
    const response = this.responses.shift() ?? {
      records: [],
      nextOffset: from,
      endOffset: from,
      era: this.snapshot.era,
    };
    if (response instanceof Error) throw response;
    return response;
  }

  override async append(): Promise<void> {
    throw new Error('not used');
  }

  override async appendAt(): Promise<AppendedRecord | undefined> {
    throw new Error('not used');
  }

  override close(): void {
    // Nothing to close.
  }
}

/** Starts a reader that notes what it reports. */
export const startReader = (log: ScriptedLog) => {
  const events: string[] = [];
  const reader = new TopicReader({
    log,
    topic: 'operators',
    logger,
    getLongPollMs: () => 0,
    getPauseMs: () => 100,
    timing: { boundMs: 2_000, maxProofAgeMs: 1_150, readSpreadMs: 0, readMs: 250, sendMs: 100 },
    onSnapshot: (records, isSettled) =>
      events.push(
        `snapshot:${records.map(({ key }) => key).join()}${isSettled ? '' : ' (unsettled)'}`,
      ),
    onNewEra: () => events.push('new era'),
    onRecords: (records) => records.forEach(({ key }) => events.push(key)),
    onOutage: () => events.push('down'),
    onRecovery: () => events.push('return'),
  });
  const abortController = new AbortController();
  void reader.run(abortController.signal);
  return { events, reader, end: () => abortController.abort() };
};
