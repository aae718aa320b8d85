/** The filter chain of forwarded requests. */
import type { DeploymentView } from '@goldcrestscale/core';
import { AccountFilter } from './accountFilter.js';
import { BodyFilter } from './bodyFilter.js';
import { DeadlineFilter } from './deadlineFilter.js';
import { GatewayDispatchFilter } from './dispatchFilter.js';
import type { GatewayDispatchOptions } from './dispatchFilter.js';
import type { GatewayFilter } from './gatewayFilter.js';
import { QuarantineFilter } from './quarantineFilter.js';
import { RouteFilter } from './routeFilter.js';
import { ShutdownFilter } from './shutdownFilter.js';
import { ErrorResponseFilter } from './errorResponseFilter.js';
import type { ErrorResponseFilterOptions } from './errorResponseFilter.js';

/** Dependencies of the filter chain. */
export interface GatewayFilterOptions {
  readonly errorResponse: ErrorResponseFilterOptions;
  readonly getView: () => DeploymentView | undefined;
  readonly dispatch: GatewayDispatchOptions;
}

/** Creates the filter chain, outermost filter first. */
export const createGatewayFilters = (options: GatewayFilterOptions): readonly GatewayFilter[] => [
  new ErrorResponseFilter(options.errorResponse),
  new ShutdownFilter(options.dispatch.isRefusing),
  new RouteFilter(options.getView, options.dispatch.estimateOutageMs),
  new AccountFilter(options.getView),
  new QuarantineFilter(options.dispatch.quarantine),
  new DeadlineFilter(),
  new BodyFilter(options.getView),
  new GatewayDispatchFilter({ ...options.dispatch, getView: options.getView }),
];
