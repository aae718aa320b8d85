/** One figure of a benchmark with the bound it is held to. */
export interface Measure {
  /** Benchmark and figure, for example "houtmeet: returning ttft p95 (ms)". */
  readonly name: string;
  /** Figure of the naive baseline; absent where there is none. */
  readonly baseline?: number;
  /** Figure of this system. */
  readonly ours: number;
  /** Largest allowed value of `ours`, or of `ours / baseline` when `boundOn` is "ratio". */
  readonly bound?: number;
  /** What the bound limits. @default "value" */
  readonly boundOn?: 'value' | 'ratio';
  /** Whether the bound is a lower limit. @default false */
  readonly atLeast?: boolean;
}

/** A benchmark: deterministic, with fixed seeds. */
export interface Benchmark {
  readonly name: string;
  /** Runs the benchmark. Figures without a bound are printed only. */
  run(): Promise<readonly Measure[]>;
}

/** Gives ours / baseline; undefined without a usable baseline. */
export const computeRatio = (measure: Measure): number | undefined =>
  measure.baseline ? measure.ours / measure.baseline : undefined;

/** Tells whether a measure keeps its bound; a measure without a bound always does. */
export const isWithinBound = (measure: Measure): boolean => {
  if (measure.bound === undefined) return true;
  const value = measure.boundOn === 'ratio' ? computeRatio(measure) : measure.ours;
  if (value === undefined || Number.isNaN(value)) return false;
  return measure.atLeast ? value >= measure.bound : value <= measure.bound;
};
