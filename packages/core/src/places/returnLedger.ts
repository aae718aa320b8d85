import { HONOURED_FRACTION, MAX_BOOKED_RETURNS, TOLD_RETURN_TTL_MS } from './constants.js';

/** A refused request. */
export interface RefusedRequest {
  /** Time until there is a place for it by the estimate, in milliseconds. */
  readonly waitMs: number;
  /** Time in which this VM fills the places that it takes, in milliseconds. */
  readonly fillMs: number;
  /** Time that its caller has left, in milliseconds. */
  readonly leftMs: number;
}

/**
 * Return times told to refused callers of one service and priority, in their order. Who is refused
 * later returns later. A caller that can't return so late is told the time and takes none.
 */
export class ReturnLedger {
  /** Booked return times that lie ahead, in ascending order. */
  private booked: number[] = [];

  private told: { readonly delayMs: number; readonly atMs: number } | undefined;

  /** Number of returns that lie ahead. */
  get size(): number {
    this.prune();
    return this.booked.length;
  }

  /** @returns the delay to tell the caller, in milliseconds */
  schedule({ waitMs, fillMs, leftMs }: RefusedRequest): number {
    this.prune();
    const nowMs = performance.now();
    const last = this.booked.at(-1);
    const dueAtMs = Math.max(nowMs + waitMs, last === undefined ? 0 : last + fillMs);
    const delayMs = dueAtMs - nowMs;
    if (delayMs > leftMs * HONOURED_FRACTION) return delayMs;
    if (this.booked.length < MAX_BOOKED_RETURNS) this.booked.push(dueAtMs);
    const isOld = !this.told || nowMs - this.told.atMs > TOLD_RETURN_TTL_MS;
    if (isOld || delayMs < this.told!.delayMs) this.told = { delayMs, atMs: nowMs };
    return delayMs;
  }

  /**
   * Whether a caller comes back after it waited as told: it has used up as much of its time as the
   * shortest delay that was told. Who repeats at once has not.
   *
   * @param spentMs time that its caller has used up before this request, in milliseconds
   */
  isReturn(spentMs: number): boolean {
    if (!this.told || performance.now() - this.told.atMs > TOLD_RETURN_TTL_MS) return false;
    return spentMs >= this.told.delayMs;
  }

  private prune(): void {
    const nowMs = performance.now();
    const ahead = this.booked.findIndex((dueAtMs) => dueAtMs > nowMs);
    if (ahead !== 0) this.booked = ahead < 0 ? [] : this.booked.slice(ahead);
  }
}
