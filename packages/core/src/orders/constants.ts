/** Weight loads that may run at once over the fleet. */
export const MAX_CONCURRENT_LOADS = 2;

/** Time after its decision up to which an order may be sent, in milliseconds. */
export const ORDER_SEND_BOUND_MS = 1_000;

/** Time in which a sent order has surely arrived or failed, in milliseconds. */
export const ORDER_ARRIVAL_BOUND_MS = 5_000;

/** Age up to which an engine's report counts, in milliseconds. */
export const ENGINE_REPORT_MAX_AGE_MS = 5_000;

/** Time after which a load that no report shows as finished is ordered again, in milliseconds. */
export const LOAD_TIMEOUT_MS = 60_000;

/** Time that a new order giver waits for orders of the one before, in milliseconds. */
export const ORDER_TAKEOVER_WAIT_MS = ORDER_SEND_BOUND_MS + ORDER_ARRIVAL_BOUND_MS;

/** Lease resource of the order giver. */
export const ORDERS_RESOURCE = 'orders';
