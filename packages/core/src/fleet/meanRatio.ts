/** Weight of a new sample in a mean, once there are enough of them. */
const SAMPLE_WEIGHT = 0.03;

/** Maximum factor by which one sample may differ from the mean that it changes. */
const MAX_SAMPLE_RATIO = 8;

/** Moving average of a factor; the first samples count equally. */
export class MeanRatio {
  private meanLog = 0;

  private samples = 0;

  /** Records a sample. @returns the logarithm of its ratio to the mean before it */
  record(ratio: number): number {
    const log = Math.log(ratio);
    const maxLog = Math.log(MAX_SAMPLE_RATIO);
    const excessLog =
      this.samples === 0 ? 0 : Math.min(maxLog, Math.max(-maxLog, log - this.meanLog));
    this.samples += 1;
    if (this.samples === 1) this.meanLog = log;
    else this.meanLog += excessLog * Math.max(SAMPLE_WEIGHT, 1 / this.samples);
    return excessLog;
  }

  /** The mean as a factor; 1 before the first sample. */
  get ratio(): number {
    return Math.exp(this.meanLog);
  }
}
