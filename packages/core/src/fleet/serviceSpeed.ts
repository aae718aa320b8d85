import { MeanRatio } from './meanRatio.js';

/** Maximum number of kinds of work whose times are kept. */
const MAX_KINDS = 1_000;

/** How long work usually takes at a service, as seen by this VM. */
export class ServiceSpeed {
  private readonly times = new Map<string, MeanRatio>();

  private readonly reports = new MeanRatio();

  private readonly heads = new MeanRatio();

  private hasReports = false;

  /** Whether upstreams of the service report how long work takes there; others aren't compared. */
  get isReporting(): boolean {
    return this.hasReports;
  }

  /** Mean time until the head of a response, in milliseconds. */
  get headMs(): number {
    return this.heads.ratio;
  }

  /** @param elapsedMs time from the send to the head, in milliseconds */
  recordHead(elapsedMs: number): void {
    this.heads.record(Math.max(1, elapsedMs));
  }

  /**
   * Compares an answer with the usual time.
   *
   * @param kind work whose times can be compared
   * @returns the logarithm of the ratio
   */
  recordTime(kind: string, msPerUnit: number): number {
    let mean = this.times.get(kind);
    if (!mean) {
      if (this.times.size >= MAX_KINDS) this.times.clear();
      mean = new MeanRatio();
      this.times.set(kind, mean);
    }
    return mean.record(msPerUnit);
  }

  /** Compares a reported slowdown with the usual one. @returns the logarithm of the ratio */
  recordReport(slowdown: number): number {
    this.hasReports = true;
    return this.reports.record(slowdown);
  }
}
