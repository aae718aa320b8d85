import type { RouteRule } from '@goldcrestscale/core';

type WaitingRoute = Pick<RouteRule, 'objectiveMs' | 'gapObjectiveMs'>;

/** Lower limit of the time for which callers wait for a stream's first event. */
const MIN_FIRST_EVENT_WAIT_MS = 2_000;

/** Callers wait for the first event at most this multiple of the route's objective or gap objective. */
const FIRST_EVENT_WAIT_OBJECTIVES = 4;
const FIRST_EVENT_WAIT_GAPS = 8;

/** Fraction of the time limit for new weights for which outdated weights are used in any case. */
const MIN_OUTDATED_WEIGHTS_FRACTION = 0.5;

/** Computes the time for which the callers of a route wait for the first event. */
export const computeMaxFirstEventWaitMs = ({ objectiveMs, gapObjectiveMs }: WaitingRoute): number =>
  Math.max(
    MIN_FIRST_EVENT_WAIT_MS,
    objectiveMs * FIRST_EVENT_WAIT_OBJECTIVES,
    (gapObjectiveMs ?? 0) * FIRST_EVENT_WAIT_GAPS,
  );

/**
 * Computes the time after the announcement of newer weights up to which requests are sent to engines
 * with the older ones. A request may wait in the engine's queue until its caller gives up, and it must
 * not start there after the time limit.
 */
export const computeOutdatedWeightsLimitMs = (
  route: WaitingRoute,
  weightsInForceMs: number,
): number =>
  Math.max(
    weightsInForceMs * MIN_OUTDATED_WEIGHTS_FRACTION,
    weightsInForceMs - computeMaxFirstEventWaitMs(route),
  );
