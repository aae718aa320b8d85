import { sleep } from '@goldcrestscale/core';
import { LOG_RETRY_DELAY_MS } from './constants.js';
import type { FaultRecorder } from './faultRecorder.js';

/** Options of a task. */
export interface TaskOptions {
  readonly name: string;
  readonly faults: FaultRecorder;
  readonly signal: AbortSignal;
}

/** Runs a task of the process until the signal aborts. After a fault, which is recorded, it runs again. */
export const runTask = async (
  run: (signal: AbortSignal) => Promise<void>,
  { name, faults, signal }: TaskOptions,
): Promise<void> => {
  while (!signal.aborted) {
    try {
      await run(signal);
    } catch (cause) {
      if (signal.aborted) return;
      faults.record('task', cause, { task: name });
    }
    await sleep(LOG_RETRY_DELAY_MS, signal);
  }
};
