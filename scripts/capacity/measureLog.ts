import { MemoryLog, createBatchingAppender } from '@goldcrestscale/core';
import { measureCpuMs } from './marginalCost.js';
import type { MarginalCost } from './marginalCost.js';

const ROUND_COUNT = 8;
const RECORDS_PER_ROUND = 2_500;
const MICROSECONDS_PER_MS = 1_000;

/** Measures the CPU time of the batching appender for each record, excluding network and log. */
export const measureLog = async (): Promise<readonly MarginalCost[]> => {
  const appender = createBatchingAppender({ stream: new MemoryLog(), priority: 'once' });
  const cpuMs = await measureCpuMs(async () => {
    for (let round = 0; round < ROUND_COUNT; round += 1) {
      const appends = Array.from({ length: RECORDS_PER_ROUND }, (_, number) =>
        appender.append({ number }),
      );
      await Promise.all(appends);
    }
  });
  return [
    {
      name: 'log: one record through the batching appender',
      value: (cpuMs / (ROUND_COUNT * RECORDS_PER_ROUND)) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
  ];
};
