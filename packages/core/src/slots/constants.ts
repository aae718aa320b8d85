import { CLOCK_RATE_TOLERANCE } from '../lease/index.js';

/** Time for which granted slots hold from when they were asked for, in milliseconds. */
export const GRANT_MS = 3_000;

/** Time after the question up to which an answer is taken, in milliseconds. */
export const GRANT_ANSWER_BOUND_MS = 1_000;

/** Time between two exchanges with a granter while slots are in use, in milliseconds. */
export const SLOT_EXCHANGE_INTERVAL_MS = 500;

/** Time that a new granter waits until grants of the one before have run out, in milliseconds. */
export const TAKEOVER_WAIT_MS = (GRANT_MS + GRANT_ANSWER_BOUND_MS) * (1 + 2 * CLOCK_RATE_TOLERANCE);

/** Time that a new granter gives the VMs to report before it grants at a warm upstream, in milliseconds. */
export const WARM_TAKEOVER_WAIT_MS = 2 * SLOT_EXCHANGE_INTERVAL_MS;

/** Time for which the slots of a silent VM stay charged at a cold upstream, in milliseconds. */
export const SILENT_COLD_HOLD_MS = 120_000;

/** Time for which the slots of a silent VM stay charged at a warm upstream, in milliseconds. */
export const SILENT_WARM_HOLD_MS = 10_000;

/** Groups of upstreams that share a granter. */
export const SLOT_GROUP_COUNT = 64;

/** Slots added to a warm upstream's ramp for each completed request. */
export const RAMP_PER_COMPLETION = 1;

/** Free slots that a VM keeps at a warm upstream, as a share of those in use. */
export const RESERVE_SHARE = 0.125;

/** Time after the last use in which a VM keeps slots in reserve, in milliseconds. */
export const RESERVE_IDLE_MS = 1_000;

/** Time without reports after which a ledger is dropped, in milliseconds. */
export const LEDGER_IDLE_MS = 600_000;
