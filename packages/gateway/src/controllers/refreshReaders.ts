import { sleep } from '@goldcrestscale/core';
import { STREAM_LOOKUP_TIMEOUT_MS } from '../constants.js';
import type { RequestLog } from '../requestLog.js';
import type { TopicReader } from './topicReader.js';

/**
 * Reads from the log what it had accepted in the readers' topics before the call.
 *
 * @returns false if it doesn't tell in time
 */
export const refreshReaders = (
  readers: readonly TopicReader[],
  requestLog: RequestLog,
  signal: AbortSignal,
): Promise<boolean> => {
  const read = Promise.all(readers.map((reader) => reader.refresh())).then(
    () => true,
    (cause: unknown) => {
      requestLog.log('versions not read for a stream', { error: String(cause) });
      return false;
    },
  );
  return Promise.race([read, sleep(STREAM_LOOKUP_TIMEOUT_MS, signal).then(() => false)]);
};
