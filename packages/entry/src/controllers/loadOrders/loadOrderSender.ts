import type { LoadOrder } from '@goldcrestscale/core';

/** Sends load orders to engines. */
export abstract class LoadOrderSender {
  /** Sends an order; implementations call `canSend` immediately before writing the request. */
  abstract send(order: LoadOrder, canSend: () => boolean, signal: AbortSignal): Promise<void>;
}
