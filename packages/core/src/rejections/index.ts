/** Limits on the requests that upstreams have to reject for want of room. */
export { RejectionLimits } from './rejectionLimits.js';
export type {
  LimitedUpstream,
  RejectionLimitChange,
  RejectionLimitsOptions,
} from './rejectionLimits.js';
