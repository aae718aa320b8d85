import { CRASH_CLUSTER_MS, END_WINDOW_MS, MAX_RECENT_ENDS } from './constants.js';
import type { PatternCrash } from './patternEvidence.js';

/** Ends of upstreams under any request, also under those that were cleared since. */
export class RecentEnds {
  private readonly endsByBoot = new Map<string, PatternCrash>();

  record(crashesByBoot: ReadonlyMap<string, PatternCrash>): void {
    crashesByBoot.forEach((crash, bootKey) => {
      if (this.endsByBoot.has(bootKey)) return;
      this.endsByBoot.set(bootKey, crash);
      if (this.endsByBoot.size > MAX_RECENT_ENDS) {
        this.endsByBoot.delete(this.endsByBoot.keys().next().value!);
      }
    });
  }

  /** Computes which fraction of the recent ends of a service came under a request. */
  computeFraction(crashesByBoot: ReadonlyMap<string, PatternCrash>): number {
    const crashes = [...crashesByBoot.values()];
    const untilMs = Math.max(...crashes.map(({ atMs }) => atMs)) + CRASH_CLUSTER_MS;
    const fromMs = untilMs - END_WINDOW_MS;
    const services = new Set(crashes.map(({ service }) => service));
    const isCounted = ({ atMs, service }: PatternCrash): boolean =>
      atMs >= fromMs && atMs <= untilMs && services.has(service);
    const ends = [...this.endsByBoot.values()].filter(isCounted).length;
    return crashes.filter(isCounted).length / Math.max(1, ends);
  }
}
