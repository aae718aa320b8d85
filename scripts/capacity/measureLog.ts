import { MemoryLog, createBatchingAppender } from '@goldcrestscale/core';
import { measureProcessorMs } from './slope.js';
import type { Slope } from './slope.js';

const RECORDS = 20_000;
const MICROSECONDS_PER_MS = 1_000;

/** Measures what a record costs its appender, without the log's own work over the network. */
export const measureLog = async (): Promise<readonly Slope[]> => {
  const appender = createBatchingAppender({ stream: new MemoryLog(), priority: 'once' });
  const usedMs = await measureProcessorMs(async () => {
    const appends = Array.from({ length: RECORDS }, (_, number) => appender.append({ number }));
    await Promise.all(appends);
  });
  return [
    {
      name: 'log: one record through the batching appender',
      value: (usedMs / RECORDS) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
  ];
};
