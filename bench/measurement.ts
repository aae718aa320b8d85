/** One measured value of a benchmark, with its acceptance bound. */
export interface Measurement {
  /** Benchmark and metric, for example "houtmeet: returning ttft p95 (ms)". */
  readonly name: string;
  /** Value of the baseline implementation; absent if there is none. */
  readonly baseline?: number;
  /** Value of this system. */
  readonly measured: number;
  /** Upper limit of `measured`, or of `measured / baseline` if `boundOn` is "ratio". */
  readonly bound?: number;
  /** Quantity that the bound applies to. @default "value" */
  readonly boundOn?: 'value' | 'ratio';
  /** Whether the bound is a lower limit. @default false */
  readonly isLowerBound?: boolean;
}

/** A benchmark: deterministic, with fixed seeds. */
export interface Benchmark {
  readonly name: string;
  /** Runs the benchmark; a measurement without a bound is only printed. */
  run(): Promise<readonly Measurement[]>;
}

/** Computes measured / baseline; undefined if the baseline is absent or zero. */
export const computeRatio = (measurement: Measurement): number | undefined =>
  measurement.baseline ? measurement.measured / measurement.baseline : undefined;

/** Returns whether a measurement is within its bound; without a bound it always is. */
export const isWithinBound = (measurement: Measurement): boolean => {
  if (measurement.bound === undefined) return true;
  const value = measurement.boundOn === 'ratio' ? computeRatio(measurement) : measurement.measured;
  if (value === undefined || Number.isNaN(value)) return false;
  return measurement.isLowerBound ? value >= measurement.bound : value <= measurement.bound;
};
