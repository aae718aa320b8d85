import { MAX_CLOCK_RATE_DRIFT } from '../lease/index.js';

/** Validity of granted slots, counted from the request, in milliseconds. */
export const GRANT_TTL_MS = 3_000;

/** Time after a request within which its grant is accepted, in milliseconds. */
export const GRANT_RESPONSE_TIMEOUT_MS = 1_000;

/** Interval of reports to a granter while slots are in use, in milliseconds. */
export const SLOT_REPORT_INTERVAL_MS = 500;

/** Time that a new granter waits for the grants of its predecessor to expire, in milliseconds. */
export const GRANTER_TAKEOVER_WAIT_MS =
  (GRANT_TTL_MS + GRANT_RESPONSE_TIMEOUT_MS) * (1 + 2 * MAX_CLOCK_RATE_DRIFT);

/**
 * Time that a new granter waits for reports before it grants slots at a warm upstream, in
 * milliseconds.
 */
export const WARM_GRANTER_TAKEOVER_WAIT_MS = 2 * SLOT_REPORT_INTERVAL_MS;

/**
 * Time for which the slots of a VM that stopped reporting stay allocated at a cold upstream, in
 * milliseconds.
 */
export const COLD_ALLOCATION_TTL_MS = 120_000;

/**
 * Time for which the slots of a VM that stopped reporting stay allocated at a warm upstream, in
 * milliseconds.
 */
export const WARM_ALLOCATION_TTL_MS = 10_000;

/** Number of upstream groups; each group has one granter. */
export const SLOT_GROUP_COUNT = 64;

/** Slots by which a warm upstream's capacity ramps up per completed request. */
export const RAMP_SLOTS_PER_COMPLETION = 1;

/** Spare slots that a VM keeps at a warm upstream, as a fraction of those in use. */
export const SPARE_SLOTS_FRACTION = 0.125;

/** Time after the last use for which a VM keeps spare slots, in milliseconds. */
export const SPARE_SLOTS_IDLE_TIMEOUT_MS = 1_000;

/** Time without reports after which a ledger is dropped, in milliseconds. */
export const SLOT_LEDGER_IDLE_TIMEOUT_MS = 600_000;
