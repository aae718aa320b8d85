import type { ServiceName } from '../ids.js';
import type { OrderedRequest } from './placeQueue.js';
import type { PlaceRoom } from './placeRoom.js';

/** A request for a place at an upstream of a service. */
export interface PlaceRequest extends OrderedRequest {
  readonly service: ServiceName;
  /** Names the upstreams that may serve it: requests with the same key share their room. */
  readonly reachKey: string;
  readonly objectiveMs: number;
  /** Whether it never waits for a place; others leave room for it all the same. */
  readonly isPassing?: boolean;
  /** Mean time that such a request occupies its places, in milliseconds. */
  readonly runMs: number;
  /** Computes the room at the upstreams that may serve it; undefined if it is not known. */
  readRoom(): PlaceRoom | undefined;
}

/** Why a request got no place. */
export type PlaceRefusalCause = 'late' | 'displaced' | 'expired';

/** Refuses a request that gets no place in time, with the figures that refused it. */
export interface PlaceRefusal {
  readonly cause: PlaceRefusalCause;
  /** Time at which it will have a place, by the estimate and the returns told before. */
  readonly retryAfterMs: number;
  readonly priority: number;
  /** Estimated wait and time waited, in milliseconds. */
  readonly estimatedMs: number;
  readonly waitedMs: number;
  /** Places of the request and of the service, and requests that waited beside it. */
  readonly places: number;
  readonly waiting: number;
  readonly freePlaces: number;
  readonly totalPlaces: number;
}

/** A request that waits in this VM. */
export interface WaitingPlace extends PlaceRequest {
  readonly arrivedAtMs: number;
  /** Ends the wait; with a refusal, or undefined when it may be sent. */
  readonly settle: (refusal: PlaceRefusal | undefined) => void;
}

/** What the admission needs to know of the fleet. */
export interface PlaceFleet {
  /** Number of VMs that send to upstreams, this one included. */
  readonly vmCount: number;
  /** Time until all VMs know what one of them told, in milliseconds. */
  readonly reportDelayMs: number;
  /** Draws from [0, 1). */
  drawRandom(): number;
}
