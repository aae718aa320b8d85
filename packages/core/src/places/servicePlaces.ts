import { DecayedSum } from '../decayedSum.js';
import {
  AMPLE_FRACTION,
  DEMAND_WINDOW_MS,
  GRANT_WINDOW_MS,
  HEADROOM_MS,
  MAX_ROOM_KEYS,
  MIN_SEEN_ARRIVALS,
  MIN_ENDS,
  MIN_URGENT_PLACES,
  ROOM_TTL_MS,
  UNHEARD_DELAYS,
} from './constants.js';
import type { PeerWaiting, ToldWaiting } from './peerWaiting.js';
import { computeHeadroom } from './placeRoom.js';
import type { PlaceRoom } from './placeRoom.js';
import { PlaceQueue } from './placeQueue.js';
import type { PlaceFleet, PlaceRequest, WaitingPlace } from './placeRequest.js';
import { ReturnLedger } from './returnLedger.js';
import { PlaceCredit, computeVmPart } from './vmPart.js';
import type { PlaceDemand } from './vmPart.js';

interface KnownRoom {
  readonly room: PlaceRoom | undefined;
  readonly atMs: number;
  /** Places that had been taken by then. */
  readonly taken: number;
}

/** Arrivals of one priority, in places. */
interface PriorityArrivals {
  readonly demand: DecayedSum;
  /** Those that the other VMs don't know of yet. */
  readonly unseen: DecayedSum;
}

/** Dependencies of the state of one service. */
export interface ServicePlacesOptions {
  readonly fleet: PlaceFleet;
  readonly peers: PeerWaiting;
}

/** State of the places of one service in this VM. */
export class ServicePlaces {
  readonly queue = new PlaceQueue<WaitingPlace>();

  private readonly rooms = new Map<string, KnownRoom>();

  /** Places that were taken in this VM since its start. */
  private taken = 0;

  private readonly arrivals = new Map<number, PriorityArrivals>();

  private readonly ledgers = new Map<number, ReturnLedger>();

  private readonly granted = new DecayedSum(GRANT_WINDOW_MS);

  /** Whether few of the requests that end are this VM's own. */
  private isSparse = false;

  private readonly credit: PlaceCredit;

  /** When requests began to wait, as this VM knows; undefined while none does. */
  private shortSinceMs: number | undefined;

  constructor(private readonly options: ServicePlacesOptions) {
    this.credit = new PlaceCredit(() => options.fleet.drawRandom());
  }

  recordArrival({ priority, places }: PlaceRequest): void {
    const arrivals = this.arrivals.get(priority) ?? {
      demand: new DecayedSum(DEMAND_WINDOW_MS),
      unseen: new DecayedSum(this.options.fleet.reportDelayMs),
    };
    this.arrivals.set(priority, arrivals);
    arrivals.demand.add(places);
    arrivals.unseen.add(places);
  }

  recordStart(request: PlaceRequest): void {
    this.queue.recordServed(request);
    this.taken += request.places;
  }

  /** Returns the room for requests like this one; undefined if it is not known. */
  readRoom(request: PlaceRequest): PlaceRoom | undefined {
    const nowMs = performance.now();
    const { reachKey, priority, objectiveMs } = request;
    const key = `${priority}/${objectiveMs}/${reachKey}`;
    let known = this.rooms.get(key);
    if (!known || nowMs - known.atMs >= ROOM_TTL_MS) {
      if (this.rooms.size >= MAX_ROOM_KEYS) this.rooms.clear();
      known = { room: request.readRoom(), atMs: nowMs, taken: this.taken };
      this.rooms.set(key, known);
    }
    return (
      known.room && { total: known.room.total, free: known.room.free - (this.taken - known.taken) }
    );
  }

  /** Whether a new request need not wait for its turn. */
  hasAmpleRoom(request: PlaceRequest, room: PlaceRoom): boolean {
    return this.queue.size === 0 && this.hasRoomForAll(request, room, this.sumTold(request));
  }

  /** Takes the places of the first waiting request from this VM's part, if that suffices. */
  tryTake(request: WaitingPlace, room: PlaceRoom): boolean {
    this.shortSinceMs ??= performance.now();
    const told = this.sumTold(request);
    const open = this.countOpenPlaces(request, room, told);
    if (open <= 0) {
      // What ends now makes up for what was taken too much.
      this.credit.clear();
      return false;
    }
    const demand = this.estimateDemand(request, told);
    const part = computeVmPart(demand);
    this.credit.refill(
      {
        part: part * open,
        perMs: part * this.estimateLeftPerMs(request, room),
        needed: request.places,
      },
      this.options.fleet.reportDelayMs,
    );
    const isAmple = this.hasRoomForAll(request, room, told, demand.untold);
    if (!isAmple && !this.credit.tryTake(request.places)) return false;
    this.granted.add(request.places);
    return true;
  }

  /** Records that a request of this VM has left its places, which this VM may fill again. */
  recordEnd(places: number): void {
    if (!this.isSparse && this.queue.size > 0) this.credit.add(places);
  }

  /** Records that nothing waits in this VM. */
  recordEmpty(): void {
    this.shortSinceMs = undefined;
    this.credit.clear();
  }

  /** Estimates the rate at which this VM fills places while the service is short. */
  estimatePlacesPerMs(request: PlaceRequest): number {
    const room = this.readRoom(request);
    const demand = this.estimateDemand(request, this.sumTold(request));
    // What others did not tell yet slows this VM down, but refuses nobody.
    const part = computeVmPart(this.isUnheard ? demand : { ...demand, untold: 0 });
    const turnoverPerMs = ((room?.total ?? 0) * part) / Math.max(1, request.runMs);
    const shortMs = performance.now() - (this.shortSinceMs ?? performance.now());
    const seen = 1 - Math.exp(-shortMs / GRANT_WINDOW_MS);
    // What was granted since the shortage began counts as much as that lasts.
    const rate = this.granted.perMs + turnoverPerMs * (1 - seen);
    return Math.max(rate, Number.EPSILON);
  }

  getLedger(priority: number): ReturnLedger {
    const ledger = this.ledgers.get(priority) ?? new ReturnLedger();
    this.ledgers.set(priority, ledger);
    return ledger;
  }

  /**
   * Estimates the places that requests of all VMs leave per millisecond, if the VMs are too many to fill
   * what their own leave: most often nothing waits in one when its request ends.
   */
  private estimateLeftPerMs(request: PlaceRequest, { total, free }: PlaceRoom): number {
    const { vmCount, reportDelayMs } = this.options.fleet;
    const leftPerMs = (total - free) / Math.max(1, request.runMs);
    this.isSparse = leftPerMs * reportDelayMs < vmCount * request.places * MIN_ENDS;
    return this.isSparse ? leftPerMs : 0;
  }

  /**
   * Whether all that waits in any VM fits, with what the others may have sent unseen.
   *
   * @param untold part of that which can't have been told yet
   */
  private hasRoomForAll(
    request: PlaceRequest,
    room: PlaceRoom,
    told: ToldWaiting,
    untold = 1,
  ): boolean {
    const unseenPlaces = this.countArrivals(request) * this.options.fleet.vmCount;
    const margin = untold === 1 ? room.total * AMPLE_FRACTION : 0;
    const kept = Math.max(margin, unseenPlaces * untold);
    const own = Math.max(request.places, this.queue.getPlaces(request.priority));
    return this.countOpenPlaces(request, room, told) - told.equal - own >= kept;
  }

  /** Counts the free places that a request may take with what is kept for more urgent ones. */
  private countOpenPlaces(
    { priority }: PlaceRequest,
    room: PlaceRoom,
    { moreUrgent }: ToldWaiting,
  ): number {
    let urgentPerWindow = 0;
    this.arrivals.forEach((arrivals, other) => {
      if (other < priority) urgentPerWindow += arrivals.demand.value;
    });
    const isUrgent = urgentPerWindow > MIN_URGENT_PLACES;
    const { vmCount } = this.options.fleet;
    const urgentPlaces = ((urgentPerWindow * HEADROOM_MS) / DEMAND_WINDOW_MS) * vmCount;
    return room.free - computeHeadroom(room, isUrgent ? urgentPlaces : 0) - moreUrgent;
  }

  /**
   * Counts the places that arrivals of a priority in this VM take before the others know it, apart from
   * those of the request at hand: one alone says nothing about how many come elsewhere.
   */
  private countArrivals({ priority, places, runMs }: PlaceRequest): number {
    const arrivals = this.arrivals.get(priority);
    if (!arrivals) return 0;
    const meanPlaces = arrivals.demand.perMs * Math.min(this.options.fleet.reportDelayMs, runMs);
    const unseen = arrivals.unseen.value;
    return unseen < places * MIN_SEEN_ARRIVALS ? meanPlaces : Math.max(unseen - places, meanPlaces);
  }

  private get isUnheard(): boolean {
    const { fleet, peers } = this.options;
    return peers.unheardMs > fleet.reportDelayMs * UNHEARD_DELAYS;
  }

  private estimateDemand(request: PlaceRequest, { equal }: ToldWaiting): PlaceDemand {
    const { vmCount, reportDelayMs } = this.options.fleet;
    const shortMs = performance.now() - (this.shortSinceMs ?? performance.now());
    return {
      own: Math.max(request.places, this.queue.getPlaces(request.priority)),
      told: equal,
      arrivals: Math.max(1, this.countArrivals(request)),
      vmCount,
      untold: this.isUnheard ? 1 : Math.exp(-shortMs / reportDelayMs),
    };
  }

  private sumTold({ service, priority }: PlaceRequest): ToldWaiting {
    return this.options.peers.sum(service, priority);
  }
}
