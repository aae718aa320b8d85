import type { ServiceName } from '../ids.js';

/** Weight of a new sample in the moving average. */
const SAMPLE_WEIGHT = 0.1;

/** Mean time that the sound requests of each service take, as seen by this VM. */
export class RunTimes {
  private readonly meanMs = new Map<ServiceName, number>();

  /** Records a request that was answered, in milliseconds. */
  record(service: ServiceName, runMs: number): void {
    const meanMs = this.meanMs.get(service) ?? runMs;
    this.meanMs.set(service, meanMs + (runMs - meanMs) * SAMPLE_WEIGHT);
  }

  /** Finds the mean time in milliseconds; undefined before the first answer. */
  findMeanMs(service: ServiceName): number | undefined {
    return this.meanMs.get(service);
  }
}
