/** Resource cost of one more unit, for example of one entry VM, row or message. */
export interface MarginalCost {
  readonly name: string;
  readonly value: number;
  readonly unit: string;
}

const MICROSECONDS_PER_MS = 1_000;

/** Measures the user and system CPU time of this process during the given work. */
export const measureCpuMs = async (work: () => Promise<void> | void): Promise<number> => {
  const before = process.cpuUsage();
  await work();
  const used = process.cpuUsage(before);
  return (used.user + used.system) / MICROSECONDS_PER_MS;
};

/** Measures the heap and array-buffer memory that a value retains; needs `node --expose-gc`. */
export const measureHeapBytes = <Value>(build: () => Value): { bytes: number; value: Value } => {
  globalThis.gc?.();
  const before = process.memoryUsage();
  const value = build();
  globalThis.gc?.();
  const after = process.memoryUsage();
  const bytes = after.heapUsed - before.heapUsed + (after.arrayBuffers - before.arrayBuffers);
  return { bytes, value };
};
