import { createError, createRefusal } from '@goldcrestscale/core';
import type { DeploymentView } from '@goldcrestscale/core';
import { DEFAULT_BODY_BYTES } from '../constants.js';
import type { GatewayExchange } from './exchange.js';
import { GatewayFilter } from './gatewayFilter.js';
import type { NextFilter } from './gatewayFilter.js';

const readBody = async (exchange: GatewayExchange, limit: number): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of exchange.request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > limit) {
      throw createRefusal(`The body is larger than ${limit} bytes.`, {
        code: 'body_too_large',
        status: 413,
      });
    }
    chunks.push(chunk);
  }
  return chunks.length === 1 ? chunks[0]! : Buffer.concat(chunks);
};

/** Reads the body, so that it can be sent again where an upstream did not run it. */
export class BodyFilter extends GatewayFilter {
  override readonly name = 'body';

  constructor(private readonly getView: () => DeploymentView | undefined) {
    super();
  }

  override async handle(exchange: GatewayExchange, next: NextFilter): Promise<void> {
    const limit = this.getView()?.deployment.callerLimits.bodyBytes ?? DEFAULT_BODY_BYTES;
    try {
      exchange.body = await readBody(exchange, limit);
    } catch (cause) {
      if (!exchange.signal.aborted && !exchange.request.destroyed) throw cause;
      throw createError('The caller left before its request was whole.', {
        code: 'bad_request',
        status: 400,
        verdict: 'not-run',
      });
    }
    await next();
  }
}
