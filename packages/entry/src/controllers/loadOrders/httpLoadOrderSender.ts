import type { LoadOrder, UpstreamId } from '@goldcrestscale/core';
import { openBoundConnection } from '../../upstream/boundConnection.js';
import { LoadOrderSender } from './loadOrderSender.js';

const ACCEPTED = 202;

/** Sends load orders to engines over HTTP. */
export class HttpLoadOrderSender extends LoadOrderSender {
  constructor(private readonly findAddress: (upstreamId: UpstreamId) => string | undefined) {
    super();
  }

  override async send(
    order: LoadOrder,
    canSend: () => boolean,
    signal: AbortSignal,
  ): Promise<void> {
    const address = this.findAddress(order.upstreamId);
    if (address === undefined) throw new Error(`engine ${order.upstreamId} is not on the VM list`);
    const connection = await openBoundConnection(address);
    try {
      // The lease may have expired while connecting; nothing is awaited between this check and the
      // write.
      if (!canSend()) throw new Error('load order was cancelled: lease lost or plan outdated');
      const { model, version, fencingToken } = order;
      const response = await connection.client.request({
        method: 'POST',
        path: '/orders',
        headers: { 'content-type': 'application/json' },
        body: JSON.stringify({ type: 'load', model, version, fencing: fencingToken }),
        signal,
      });
      await response.body.dump();
      if (response.statusCode !== ACCEPTED) {
        throw new Error(
          `engine ${order.upstreamId} rejected the load order with status ${response.statusCode}`,
        );
      }
    } finally {
      connection.close();
    }
  }
}
