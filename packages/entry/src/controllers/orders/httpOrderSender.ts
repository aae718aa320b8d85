import type { LoadOrder, UpstreamId } from '@goldcrestscale/core';
import { openBoundConnection } from '../../upstream/boundConnection.js';
import { OrderSender } from './orderSender.js';

const ACCEPTED = 202;

/** Sends orders to engines over HTTP. */
export class HttpOrderSender extends OrderSender {
  constructor(private readonly findAddress: (upstreamId: UpstreamId) => string | undefined) {
    super();
  }

  override async send(
    order: LoadOrder,
    canSend: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const address = this.findAddress(order.upstreamId);
    if (address === undefined) throw new Error(`engine ${order.upstreamId} is gone`);
    const connection = await openBoundConnection(address);
    try {
      // The connection took time; between this check and the write nothing awaits.
      if (!canSend()) throw new Error('the order may no longer be sent');
      const { model, version, fencing } = order;
      const response = await connection.client.request({
        method: 'POST',
        path: '/orders',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ type: 'load', model, version, fencing }),
        signal,
      });
      await response.body.dump();
      if (response.statusCode !== ACCEPTED) {
        throw new Error(`engine ${order.upstreamId} refused with ${response.statusCode}`);
      }
    } finally {
      connection.close();
    }
  }
}
