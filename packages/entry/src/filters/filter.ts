import { ChainFilter } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';

export type { NextFilter } from '@goldcrestscale/core';

/** One step of a completion's or service call's way. */
export abstract class Filter extends ChainFilter<Exchange> {}
