/** Time after which a time limit that was not seen again is forgotten, in milliseconds. */
const LIMIT_TTL_MS = 30_000;

/** Maximum number of routes that are kept. */
const MAX_ROUTES = 1_000;

/** Longest time limit that callers of each route gave, which first requests come with. */
export class CallerTimes {
  private readonly longest = new Map<string, { readonly limitMs: number; readonly atMs: number }>();

  /**
   * Estimates how much of its time a caller used up before this request: what it has less than the
   * callers of its route begin with.
   *
   * @returns milliseconds; 0 if it told no limit
   */
  estimateSpentMs(route: string, limitMs: number | undefined): number {
    if (limitMs === undefined) return 0;
    const known = this.longest.get(route);
    const nowMs = performance.now();
    if (!known || limitMs >= known.limitMs || nowMs - known.atMs > LIMIT_TTL_MS) {
      this.longest.delete(route);
      this.longest.set(route, { limitMs, atMs: nowMs });
      if (this.longest.size > MAX_ROUTES) this.longest.delete(this.longest.keys().next().value!);
      return 0;
    }
    return known.limitMs - limitMs;
  }
}
