import type { GoldcrestErrorInstance } from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import type { CallerProtocol } from '../ports/index.js';

const SECOND_MS = 1_000;

/** Sends an error response; aborts one that has already started, or whose caller has left. */
export const sendErrorResponse = (
  exchange: GatewayExchange,
  error: GoldcrestErrorInstance,
  status: number,
  protocol: CallerProtocol,
): void => {
  const { response, head } = exchange;
  if (response.isHeadSent || exchange.signal.aborted) {
    response.abort();
    return;
  }
  const body = Buffer.from(JSON.stringify({ error: { code: error.code, message: error.message } }));
  const headers = { ...protocol.buildErrorHeaders(head.requestId) };
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = (error.retryAfterMs / SECOND_MS).toFixed(2);
  }
  response.start({
    status,
    headers: ['content-type', 'application/json', ...Object.entries(headers).flat()],
    contentLength: body.length,
  });
  response.finish(body);
};
