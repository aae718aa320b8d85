import { createRefusal } from '@goldcrestscale/core';
import type { DeploymentView, GoldcrestErrorInstance } from '@goldcrestscale/core';
import { DEFAULT_MAX_BODY_BYTES } from '../constants.js';
import { createCallerLeftError } from '../dispatch/dispatchErrors.js';
import type { GatewayExchange } from './gatewayExchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

const createTooLargeError = (maxBytes: number): GoldcrestErrorInstance =>
  createRefusal(`The body is larger than ${maxBytes} bytes.`, {
    code: 'body_too_large',
    status: 413,
  });

/** Uses events, because leaving an async iteration early would destroy the caller's connection. */
const readBody = (exchange: GatewayExchange, maxBytes: number): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const { request } = exchange;
    const chunks: Buffer[] = [];
    let receivedBytes = 0;
    const fail = (): void => {
      // Every request closes; the error is created only for one that is incomplete.
      if (!request.readableEnded) reject(createCallerLeftError(exchange));
    };
    request.on('data', (chunk: Buffer) => {
      receivedBytes += chunk.length;
      if (receivedBytes <= maxBytes) chunks.push(chunk);
      else reject(createTooLargeError(maxBytes));
    });
    request.once('end', () => resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
    request.once('error', fail);
    request.once('close', fail);
  });

/** Buffers the request body, so that the request can be retried at another upstream. */
export class BodyFilter extends GatewayFilter {
  override readonly name = 'body';

  constructor(private readonly getView: () => DeploymentView | undefined) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    // The end of the request may have been emitted already; it would never come again.
    if (exchange.signal.aborted) throw createCallerLeftError(exchange);
    const maxBytes = this.getView()?.deployment.callerLimits.bodyBytes ?? DEFAULT_MAX_BODY_BYTES;
    exchange.body = await readBody(exchange, maxBytes);
    await next();
  }
}
