import { MAX_PENDING_STREAM_BYTES, MAX_PENDING_STREAM_RECORDS } from '../constants.js';
import type { KeyedRecord } from '../ports/index.js';

/** Memory of a record beside its content, in bytes. */
const RECORD_OVERHEAD_BYTES = 256;

/** Selects the newest of the records that wait for the log, as many as may be kept, in their order. */
export const selectNewestRecords = (records: readonly KeyedRecord[]): KeyedRecord[] => {
  const newest = records.slice(-MAX_PENDING_STREAM_RECORDS);
  let bytes = 0;
  const lastDropped = newest.findLastIndex(({ key, value }) => {
    bytes += RECORD_OVERHEAD_BYTES + key.length + (value?.length ?? 0);
    return bytes > MAX_PENDING_STREAM_BYTES;
  });
  return newest.slice(lastDropped + 1);
};
