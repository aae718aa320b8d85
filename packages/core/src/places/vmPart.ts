import { FILL_DELAYS } from './constants.js';

/** Demand for the places of a service, in places. */
export interface PlaceDemand {
  /** Waiting in this VM. */
  readonly own: number;
  /** Waiting in the other VMs, as they told. */
  readonly told: number;
  /** Arrivals in this VM in one report delay. */
  readonly arrivals: number;
  /** Number of VMs that send to the service, this one included. */
  readonly vmCount: number;
  /** Part of the others' demand that can't have been told yet, in [0, 1]. */
  readonly untold: number;
}

const countMine = ({ own, arrivals, untold }: PlaceDemand): number =>
  Math.max(own, arrivals * untold);

const countOthers = ({ told, arrivals, vmCount, untold }: PlaceDemand): number =>
  told + arrivals * untold * (vmCount - 1);

/**
 * Computes this VM's part of the places that become free: what waits in it against what waits in all.
 * Others that have not had the time to tell count as if they had what arrives here. The parts of all
 * VMs sum up to at most 2: 1 for those who told, and 1/N for each who has no more than arrivals to tell.
 */
export const computeVmPart = (demand: PlaceDemand): number => {
  const mine = countMine(demand);
  return mine > 0 ? mine / (mine + countOthers(demand)) : 0;
};

/** What adds to the credit of a VM. */
export interface CreditChange {
  /** Part of the free places. */
  readonly part: number;
  /** Part of the places that requests leave per millisecond, where this VM's own leave hardly any. */
  readonly perMs: number;
  /** Places of the request that is next. */
  readonly needed: number;
}

/**
 * Places that this VM may fill while the service runs short: what its own requests leave, at
 * once, and its part of what those of others leave and of the free ones. The latter accrue so that all VMs together offer them over FILL_DELAYS report
 * delays: within the delay in which they don't see what the others take, they take at most what was
 * free, and one request a VM.
 */
export class PlaceCredit {
  private places: number | undefined;

  private updatedAtMs = 0;

  /** @param drawPhase draws from [0, 1), so that VMs with little credit do not start together */
  constructor(private readonly drawPhase: () => number) {}

  refill({ part, perMs, needed }: CreditChange, reportDelayMs: number): void {
    const nowMs = performance.now();
    if (this.places === undefined) {
      this.places = this.drawPhase() * needed;
      this.updatedAtMs = nowMs;
    }
    const addedPerMs = perMs + part / (reportDelayMs * FILL_DELAYS);
    const added = addedPerMs * (nowMs - this.updatedAtMs);
    this.places = Math.min(Math.max(part, needed, this.places), this.places + added);
    this.updatedAtMs = nowMs;
  }

  /** Adds places that a request of this VM has left. */
  add(places: number): void {
    if (this.places === undefined) this.updatedAtMs = performance.now();
    this.places = (this.places ?? 0) + places;
  }

  /** @returns whether there was enough */
  tryTake(needed: number): boolean {
    if (this.places === undefined || this.places < needed) return false;
    this.places -= needed;
    return true;
  }

  /** Gives up what has accrued, because nothing waits or nothing is free. */
  clear(): void {
    this.places = undefined;
  }
}
