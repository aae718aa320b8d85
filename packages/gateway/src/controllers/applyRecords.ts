import type { FaultRecorder } from '../faultRecorder.js';
import type { KeyedRecord, LogTopic } from '../ports/index.js';

/**
 * Applies records one by one. A fault in one is recorded and leaves the others alone: other writers
 * share the topics, and a reader that stopped at a record would read it again for ever.
 *
 * @returns the results of the records that were applied
 */
export const applyRecords = <Result>(
  topic: LogTopic,
  records: readonly KeyedRecord[],
  faults: FaultRecorder,
  apply: (record: KeyedRecord) => Result | undefined,
): readonly Result[] =>
  records.flatMap((record) => {
    const result = faults.guard('record', () => apply(record), { topic, key: record.key });
    return result === undefined ? [] : [result];
  });
