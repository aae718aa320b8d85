import { WAIT_ESTIMATE_TOLERANCE_FACTOR } from '../admission/constants.js';
import { clampRetryAfterMs } from '../admission/waitEstimate.js';
import type { ServiceName } from '../ids.js';
import {
  HONOURED_FRACTION,
  MAX_REFUSING_FREE_FRACTION,
  MAX_WAITING,
  PLACE_POLL_MS,
  REPORTS_PER_WAIT,
  WAIT_OBJECTIVE_FRACTION,
} from './constants.js';
import type { PeerWaiting, WaitingRow } from './peerWaiting.js';
import type {
  PlaceFleet,
  PlaceRefusal,
  PlaceRefusalCause,
  PlaceRequest,
  WaitingPlace,
} from './placeRequest.js';
import { ServicePlaces } from './servicePlaces.js';

/** A request for a place, before it is known whether its caller returns. */
export type NewPlaceRequest = Omit<PlaceRequest, 'isReturn'> & {
  /** Time that its caller has used up before it sent this request, in milliseconds. */
  readonly spentMs: number;
};

/** Dependencies of the admission. */
export interface PlaceAdmissionOptions {
  readonly fleet: PlaceFleet;
  readonly peers: PeerWaiting;
}

/** Computes how long a request may wait, so that its caller has time left for a return. */
const computeMaxWaitMs = ({ objectiveMs, deadlineAtMs, arrivedAtMs }: WaitingPlace): number =>
  Math.min(objectiveMs * WAIT_OBJECTIVE_FRACTION, (deadlineAtMs - arrivedAtMs) * HONOURED_FRACTION);

const estimateWaitMs = (
  service: ServicePlaces,
  request: PlaceRequest,
  placesAhead: number,
): number => (placesAhead + request.places) / service.estimatePlacesPerMs(request);

/** Starts those whose turn it is. A request that must wait holds back all after it of its reach. */
const drainService = (service: ServicePlaces): void => {
  const { queue } = service;
  const held = new Set<string>();
  for (;;) {
    const next = queue.findFirst(({ reachKey }) => !held.has(reachKey));
    if (!next) break;
    const room = service.readRoom(next);
    if (room && !service.tryTake(next, room)) held.add(next.reachKey);
    else {
      service.recordStart(next);
      next.settle(undefined);
    }
  }
  if (queue.size === 0) service.recordEmpty();
};

const scheduleOwnReturn = (service: ServicePlaces, request: PlaceRequest, waitMs: number): number =>
  service.getLedger(request.priority).schedule({
    waitMs: clampRetryAfterMs(waitMs),
    fillMs: request.places / service.estimatePlacesPerMs(request),
    leftMs: request.deadlineAtMs - performance.now(),
  });

/** Ends the wait of a request: with a refusal, unless most places are free. */
const refuse = (
  service: ServicePlaces,
  item: WaitingPlace,
  cause: PlaceRefusalCause,
  estimatedMs: number,
): void => {
  const room = service.readRoom(item);
  if (room && room.free > room.total * MAX_REFUSING_FREE_FRACTION) {
    service.recordStart(item);
    item.settle(undefined);
    return;
  }
  item.settle({
    cause,
    retryAfterMs: scheduleOwnReturn(service, item, estimatedMs),
    priority: item.priority,
    estimatedMs: Math.round(estimatedMs),
    waitedMs: Math.round(performance.now() - item.arrivedAtMs),
    places: item.places,
    waiting: service.queue.size,
    freePlaces: room?.free ?? 0,
    totalPlaces: room?.total ?? 0,
  });
};

/** Refuses a new request that will not get its places in time by the estimate. */
const refuseNewLate = (service: ServicePlaces, item: WaitingPlace): void => {
  const waitMs = estimateWaitMs(service, item, service.queue.sumPlacesBefore(item));
  if (waitMs > computeMaxWaitMs(item)) refuse(service, item, 'late', waitMs);
};

/** Refuses those that have waited in vain, or whose estimates have grown too long. */
const refuseLate = (service: ServicePlaces): void => {
  const nowMs = performance.now();
  const rates = new Map<number, number>();
  let placesAhead = 0;
  service.queue.list().forEach((item) => {
    const rate = rates.get(item.priority) ?? service.estimatePlacesPerMs(item);
    rates.set(item.priority, rate);
    const waitMs = (placesAhead + item.places) / rate;
    const leftMs = computeMaxWaitMs(item) - (nowMs - item.arrivedAtMs);
    if (leftMs <= 0) refuse(service, item, 'expired', waitMs);
    else if (waitMs > leftMs * WAIT_ESTIMATE_TOLERANCE_FACTOR) {
      refuse(service, item, 'late', waitMs);
    } else placesAhead += item.places;
  });
};

/**
 * Decides which requests of this VM get the next places of a service, which wait, and which are refused.
 * While there is ample room it does nothing.
 */
export class PlaceAdmission {
  private readonly services = new Map<ServiceName, ServicePlaces>();

  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: PlaceAdmissionOptions) {}

  /**
   * Asks for a place.
   *
   * @returns undefined if the request may be sent now; otherwise what ends its wait: a refusal, or
   *   undefined when it may be sent or the signal aborts
   */
  request(
    asked: NewPlaceRequest,
    signal: AbortSignal,
  ): Promise<PlaceRefusal | undefined> | undefined {
    const service = this.getService(asked.service);
    const isReturn = service.getLedger(asked.priority).isReturn(asked.spentMs);
    const request: PlaceRequest = { ...asked, isReturn };
    service.recordArrival(request);
    // The room of all upstreams is computed only for those who may have to wait.
    const room = request.isPassing ? undefined : service.readRoom(request);
    if (!room || service.hasAmpleRoom(request, room)) {
      service.recordStart(request);
      return undefined;
    }
    return this.enqueue(service, request, signal);
  }

  /**
   * Books the return of a request that is refused for want of room after it got its place.
   *
   * @param waitMs time after which it makes sense to return, in milliseconds
   * @returns the delay to tell its caller, in milliseconds
   */
  scheduleReturn(asked: NewPlaceRequest, waitMs: number): number {
    return scheduleOwnReturn(this.getService(asked.service), { ...asked, isReturn: false }, waitMs);
  }

  /** Records that a request that was let through has ended. */
  recordEnd({ service, places }: Pick<NewPlaceRequest, 'service' | 'places'>): void {
    this.services.get(service)?.recordEnd(places);
  }

  /** Whether the figures of the other VMs change while a request with this objective may wait. */
  canDecide(objectiveMs: number): boolean {
    const { reportDelayMs } = this.options.fleet;
    return reportDelayMs * REPORTS_PER_WAIT <= objectiveMs * WAIT_OBJECTIVE_FRACTION;
  }

  /** Lists the places for which requests wait in this VM, to be told to the others. */
  listWaiting(): readonly WaitingRow[] {
    const rows: WaitingRow[] = [];
    this.services.forEach(({ queue }, service) => {
      if (queue.size === 0) return;
      queue.listPlaces().forEach(([priority, places]) => rows.push({ service, priority, places }));
    });
    return rows;
  }

  /** Counts the requests that wait in this VM, by service. */
  countWaiting(): ReadonlyMap<ServiceName, number> {
    return new Map([...this.services].map(([name, { queue }]) => [name, queue.size]));
  }

  private enqueue(
    service: ServicePlaces,
    request: PlaceRequest,
    signal: AbortSignal,
  ): Promise<PlaceRefusal | undefined> {
    return new Promise((resolve) => {
      const item: WaitingPlace = {
        ...request,
        arrivedAtMs: performance.now(),
        settle: (refusal) => {
          service.queue.remove(item);
          // eslint-disable-next-line @typescript-eslint/no-use-before-define -- mutual reference
          signal.removeEventListener('abort', leave);
          resolve(refusal);
        },
      };
      const leave = (): void => item.settle(undefined);
      if (signal.aborted) {
        resolve(undefined);
        return;
      }
      signal.addEventListener('abort', leave, { once: true });
      service.queue.add(item);
      drainService(service);
      if (service.queue.has(item)) refuseNewLate(service, item);
      if (service.queue.size > MAX_WAITING) {
        const last = service.queue.list().at(-1)!;
        const waitMs = estimateWaitMs(service, last, service.queue.sumPlacesBefore(last));
        refuse(service, last, 'displaced', waitMs);
      }
      this.schedulePoll();
    });
  }

  private schedulePoll(): void {
    this.timer ??= setTimeout(() => {
      this.timer = undefined;
      let waiting = 0;
      this.services.forEach((service) => {
        if (service.queue.size === 0) return;
        drainService(service);
        refuseLate(service);
        if (service.queue.size === 0) service.recordEmpty();
        waiting += service.queue.size;
      });
      if (waiting > 0) this.schedulePoll();
    }, PLACE_POLL_MS);
    this.timer.unref?.();
  }

  private getService(name: ServiceName): ServicePlaces {
    const known = this.services.get(name);
    if (known) return known;
    const service = new ServicePlaces(this.options);
    this.services.set(name, service);
    return service;
  }
}
