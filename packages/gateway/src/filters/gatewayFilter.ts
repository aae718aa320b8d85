import { ChainFilter } from '@goldcrestscale/core';
import type { GatewayExchange } from './exchange.js';

export type { NextFilter } from '@goldcrestscale/core';

/** One step of a forwarded request's way. */
export abstract class GatewayFilter extends ChainFilter<GatewayExchange> {}
