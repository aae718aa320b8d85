/** Maximum concurrent weight loads across the fleet. */
export const MAX_CONCURRENT_LOADS = 2;

/** Time after the decision within which an order may be sent, in milliseconds. */
export const ORDER_SEND_DEADLINE_MS = 1_000;

/** Time after which a sent order has certainly arrived or failed, in milliseconds. */
export const ORDER_DELIVERY_TIMEOUT_MS = 5_000;

/** Maximum age of a usable engine report, in milliseconds. */
export const ENGINE_REPORT_MAX_AGE_MS = 5_000;

/** Time after which a load may be ordered again if its engine is no longer reported, in milliseconds. */
export const ORDERED_LOAD_TIMEOUT_MS = 60_000;

/** Time that a new leaseholder waits for its predecessor's orders to arrive, in milliseconds. */
export const ORDER_TAKEOVER_WAIT_MS = ORDER_SEND_DEADLINE_MS + ORDER_DELIVERY_TIMEOUT_MS;

/** Resource name of the lease that permits issuing orders. */
export const ORDERS_RESOURCE = 'orders';
