import type { RateChange, RejectionLimitChange } from '@goldcrestscale/core';
import type { RequestLog } from './requestLog.js';

/**
 * Logs that an upstream announced another rate limit. The number of lines is bounded, because it may
 * change with every response.
 */
export const logRateChange = (requestLog: RequestLog, change: RateChange): void => {
  const { upstreamId, startedAtMs, previous, requestsPerSecond } = change;
  requestLog.log('rate limit of upstream changed', {
    upstreamId,
    startedAtMs,
    previous: previous ?? 'none',
    requestsPerSecond: requestsPerSecond ?? 'none',
  });
};

/** Logs that upstreams of a service announced another rejection limit. */
export const logRejectionLimitChange = (
  requestLog: RequestLog,
  { service, previous, rejectionsPerSecond }: RejectionLimitChange,
): void => {
  requestLog.log('rejection limit of service changed', {
    service,
    previous: previous ?? 'none',
    rejectionsPerSecond: rejectionsPerSecond ?? 'none',
  });
};
