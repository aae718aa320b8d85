import type { ClientAccountId } from '../ids.js';
import { DecayedSum } from '../decayedSum.js';
import { DEMAND_WINDOW_MS, MAX_ACCOUNTS } from './constants.js';

/** A request in the order for places. */
export interface OrderedRequest {
  /** The account's priority before the route's; 0 is the highest. */
  readonly priority: number;
  readonly accountId: ClientAccountId | undefined;
  /** Share of the account in relation to others. */
  readonly accountWeight: number;
  /** Whether its caller was refused before and waited as told. */
  readonly isReturn: boolean;
  /** Places that it takes. */
  readonly places: number;
  readonly deadlineAtMs: number;
}

const compareRank = (left: OrderedRequest, right: OrderedRequest): number =>
  left.priority - right.priority || Number(right.isReturn) - Number(left.isReturn);

/**
 * Order of the requests that wait for a place: by priority, those who return before newcomers, then the
 * account that got least for its weight lately, then the least time left. The next one is never
 * passed over for being large.
 */
export class PlaceQueue<T extends OrderedRequest> {
  private readonly waiting = new Set<T>();

  /** Places for which requests wait, by priority. */
  private readonly places = new Map<number, number>();

  private readonly served = new Map<ClientAccountId | undefined, DecayedSum>();

  get size(): number {
    return this.waiting.size;
  }

  add(item: T): void {
    this.waiting.add(item);
    this.addPlaces(item, item.places);
  }

  has(item: T): boolean {
    return this.waiting.has(item);
  }

  remove(item: T): void {
    if (this.waiting.delete(item)) this.addPlaces(item, -item.places);
  }

  /** Records that a request got its places, also without a wait. */
  recordServed({ accountId, accountWeight, places }: OrderedRequest): void {
    const served = this.served.get(accountId) ?? new DecayedSum(DEMAND_WINDOW_MS);
    served.add(places / accountWeight);
    this.served.delete(accountId);
    this.served.set(accountId, served);
    if (this.served.size > MAX_ACCOUNTS) this.served.delete(this.served.keys().next().value);
  }

  findFirst(isOpen: (item: T) => boolean): T | undefined {
    let first: T | undefined;
    this.waiting.forEach((item) => {
      if (isOpen(item) && (!first || this.compare(item, first) < 0)) first = item;
    });
    return first;
  }

  /** Returns the waiting requests in the order in which they will be served. */
  list(): readonly T[] {
    const expected = new Map<ClientAccountId | undefined, number>();
    const tagged = [...this.waiting]
      .sort((left, right) => compareRank(left, right) || left.deadlineAtMs - right.deadlineAtMs)
      .map((item) => {
        const served = expected.get(item.accountId) ?? this.getServed(item);
        expected.set(item.accountId, served + item.places / item.accountWeight);
        return { item, served };
      });
    return tagged
      .sort((left, right) => compareRank(left.item, right.item) || left.served - right.served)
      .map(({ item }) => item);
  }

  /** Sums the places of the requests before one. */
  sumPlacesBefore(item: T): number {
    const ordered = this.list();
    return ordered.slice(0, ordered.indexOf(item)).reduce((sum, { places }) => sum + places, 0);
  }

  /** Returns the places for which requests of a priority wait. */
  getPlaces(priority: number): number {
    return this.places.get(priority) ?? 0;
  }

  /** Lists the places for which requests wait, by priority. */
  listPlaces(): readonly (readonly [priority: number, places: number])[] {
    return [...this.places];
  }

  private compare(left: T, right: T): number {
    return (
      compareRank(left, right) ||
      this.getServed(left) - this.getServed(right) ||
      left.deadlineAtMs - right.deadlineAtMs
    );
  }

  private addPlaces({ priority }: T, places: number): void {
    const sum = this.getPlaces(priority) + places;
    // A rest below one place is a rounding error.
    if (sum >= 1) this.places.set(priority, sum);
    else this.places.delete(priority);
  }

  private getServed({ accountId }: OrderedRequest): number {
    return this.served.get(accountId)?.value ?? 0;
  }
}
