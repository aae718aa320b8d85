import type { LoadOrder } from '@goldcrestscale/core';

/** Sends orders to engines. */
export abstract class OrderSender {
  /** Sends one order; `canSend` is to be asked right before the bytes are written. */
  abstract send(order: LoadOrder, canSend: () => boolean, signal: AbortSignal): Promise<void>;
}
