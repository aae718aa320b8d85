import { ChainFilter } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';

export type { NextFilter } from '@goldcrestscale/core';

/** One step in the handling of a completion or service request. */
export abstract class Filter extends ChainFilter<Exchange> {}
