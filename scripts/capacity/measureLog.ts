import { MemoryLog, createBatchingAppender } from '@goldcrestscale/core';
import { measureProcessorMs } from './slope.js';
import type { Slope } from './slope.js';

const ROUNDS = 8;
const RECORDS_PER_ROUND = 2_500;
const MICROSECONDS_PER_MS = 1_000;

/** Measures what a record costs its appender, without the log's own work over the network. */
export const measureLog = async (): Promise<readonly Slope[]> => {
  const appender = createBatchingAppender({ stream: new MemoryLog(), priority: 'once' });
  const usedMs = await measureProcessorMs(async () => {
    for (let round = 0; round < ROUNDS; round += 1) {
      const appends = Array.from({ length: RECORDS_PER_ROUND }, (_, number) =>
        appender.append({ number }),
      );
      await Promise.all(appends);
    }
  });
  return [
    {
      name: 'log: one record through the batching appender',
      value: (usedMs / (ROUNDS * RECORDS_PER_ROUND)) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
  ];
};
