import { ChainFilter } from '@goldcrestscale/core';
import type { GatewayExchange } from './gatewayExchange.js';

export type { NextFilter } from '@goldcrestscale/core';

/** A filter of the chain that forwards requests. */
export abstract class GatewayFilter extends ChainFilter<GatewayExchange> {}
