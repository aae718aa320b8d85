import { createRefusal } from '@goldcrestscale/core';
import type { DeploymentView, GoldcrestErrorInstance } from '@goldcrestscale/core';
import { DEFAULT_BODY_BYTES } from '../constants.js';
import type { GatewayExchange } from './exchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

const createTooLargeError = (limit: number): GoldcrestErrorInstance =>
  createRefusal(`The body is larger than ${limit} bytes.`, {
    code: 'body_too_large',
    status: 413,
  });

const createGoneError = (): GoldcrestErrorInstance =>
  createRefusal('The caller left before its request was whole.', {
    code: 'bad_request',
    status: 400,
  });

/** Reads by events: leaving an asynchronous iteration would end the caller's connection. */
const readBody = ({ request }: GatewayExchange, limit: number): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const chunks: Buffer[] = [];
    let bytes = 0;
    request.on('data', (chunk: Buffer) => {
      bytes += chunk.length;
      if (bytes <= limit) chunks.push(chunk);
      else reject(createTooLargeError(limit));
    });
    request.once('end', () => resolve(chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks)));
    request.once('error', () => reject(createGoneError()));
    request.once('close', () => reject(createGoneError()));
  });

/** Reads the body, so that it can be sent again where an upstream did not run it. */
export class BodyFilter extends GatewayFilter {
  override readonly name = 'body';

  constructor(private readonly getView: () => DeploymentView | undefined) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    const limit = this.getView()?.deployment.callerLimits.bodyBytes ?? DEFAULT_BODY_BYTES;
    exchange.body = await readBody(exchange, limit);
    await next();
  }
}
