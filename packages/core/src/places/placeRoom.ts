import {
  BACKLOG_OBJECTIVE_FRACTION,
  MAX_HEADROOM_FRACTION,
  MIN_HEADROOM_FRACTION,
  QUEUE_TIMEOUT_FRACTION,
} from './constants.js';

/** Capacity of one upstream for requests of a kind; Infinity where nothing is known of it. */
export interface UpstreamCapacity {
  /** Requests that it runs, and those that it may queue and still serve in time. */
  readonly slots: number;
  /** Tokens that its memory holds of prompts and outputs. */
  readonly memoryTokens: number;
  /** Time of prompts to prefill, in milliseconds. */
  readonly backlogMs: number;
}

/** What one upstream holds of its capacity, by the figures of all VMs. */
export interface UpstreamUse {
  readonly capacity: UpstreamCapacity;
  readonly used: UpstreamCapacity;
}

/** Places of a service. A place is a slot with its part of the memory and of the backlog. */
export interface PlaceRoom {
  readonly total: number;
  readonly free: number;
}

/** Work of one request. */
export interface PlaceWork {
  /** Tokens of its prompt and its expected output. */
  readonly memoryTokens: number;
  /** Time to prefill what is not cached of its prompt, in milliseconds. */
  readonly prefillMs: number;
}

const computeUsedFraction = ({ capacity, used }: UpstreamUse): number =>
  Math.max(
    used.slots / capacity.slots,
    used.memoryTokens / capacity.memoryTokens,
    used.backlogMs / capacity.backlogMs,
  );

/**
 * Sums the places of a service's eligible upstreams; one is as full as what it has least left of.
 *
 * @returns undefined if it is not known what an upstream can run
 */
export const computeRoom = (upstreams: readonly UpstreamUse[]): PlaceRoom | undefined => {
  if (upstreams.length === 0) return undefined;
  let total = 0;
  let free = 0;
  upstreams.forEach((use) => {
    total += use.capacity.slots;
    free += use.capacity.slots * Math.max(0, 1 - computeUsedFraction(use));
  });
  return Number.isFinite(total) && total > 0 ? { total, free } : undefined;
};

/** Computes the places that a request takes at an upstream: at least one, at most all. */
export const computePlaces = (
  { memoryTokens, prefillMs }: PlaceWork,
  { slots, memoryTokens: capacityTokens, backlogMs }: UpstreamCapacity,
): number => {
  if (!Number.isFinite(slots)) return 1;
  const fraction = Math.max(memoryTokens / capacityTokens, prefillMs / backlogMs);
  return Math.max(1, Math.min(slots, slots * fraction));
};

/** Computes how much prefill an engine may have before it, so that a request is still in time. */
export const computeMaxBacklogMs = (objectiveMs: number): number =>
  objectiveMs * BACKLOG_OBJECTIVE_FRACTION;

/**
 * Computes the requests that a plain upstream may run and queue.
 *
 * @param runMs mean time of a request there, in milliseconds; undefined if none was seen
 * @param timeoutMs time limit of the request
 * @returns Infinity if it is not known
 */
export const computeQueuedSlots = (
  slots: number,
  runMs: number | undefined,
  timeoutMs: number,
): number => {
  if (slots <= 0 || runMs === undefined || runMs <= 0) return Infinity;
  return slots * Math.max(1, (timeoutMs * QUEUE_TIMEOUT_FRACTION) / runMs);
};

/**
 * Computes the places that less urgent requests leave free for more urgent ones.
 *
 * @param urgentPlaces places that more urgent requests will ask for before others see it; 0 for none
 */
export const computeHeadroom = ({ total }: PlaceRoom, urgentPlaces: number): number => {
  if (urgentPlaces <= 0) return 0;
  const bounded = Math.min(total * MAX_HEADROOM_FRACTION, urgentPlaces);
  return Math.max(total * MIN_HEADROOM_FRACTION, bounded);
};
