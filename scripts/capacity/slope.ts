/** One measured slope: what one more of something costs. */
export interface Slope {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

const MICROSECONDS_PER_MS = 1_000;

/** Gives the processor time that work takes, in milliseconds. */
export const measureProcessorMs = async (work: () => Promise<void> | void): Promise<number> => {
  const before = process.cpuUsage();
  await work();
  const used = process.cpuUsage(before);
  return (used.user + used.system) / MICROSECONDS_PER_MS;
};

/** Gives the heap that a value takes, in bytes; needs `node --expose-gc`. */
export const measureHeapBytes = <Value>(build: () => Value): { bytes: number; value: Value } => {
  globalThis.gc?.();
  const before = process.memoryUsage();
  const value = build();
  globalThis.gc?.();
  const after = process.memoryUsage();
  const bytes = after.heapUsed - before.heapUsed + (after.arrayBuffers - before.arrayBuffers);
  return { bytes, value };
};
