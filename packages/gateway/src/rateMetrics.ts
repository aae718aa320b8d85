import type { MetricsRegistry } from '@goldcrestscale/runtime';

/** Gauges and counters of the limits that upstreams announce. */
export interface RateMetrics {
  /** Sets the rate limit that an upstream announces, in requests per second; removed if undefined. */
  setAnnouncedRate(upstreamId: string, requestsPerSecond: number | undefined): void;
  /** Sets the rejections per second at which upstreams of a service fail; removed if undefined. */
  setRejectionLimit(service: string, rejectionsPerSecond: number | undefined): void;
  /** Counts a request that this VM sends to an upstream with a rate limit. */
  countLimitedSend(upstreamId: string): void;
}

/** Creates the metrics of announced limits. */
export const createRateMetrics = (metrics: MetricsRegistry): RateMetrics => {
  const announcedRates = metrics.createGauge({
    name: 'goldcrest_gateway_announced_rate_limit',
    help: 'Requests per second that an upstream takes from all VMs together, while it says so.',
    labelNames: ['upstream'],
  });
  const rejectionLimits = metrics.createGauge({
    name: 'goldcrest_gateway_rejection_limit',
    help: 'Rejections per second at which upstreams of a service fail, while they say so.',
    labelNames: ['service'],
  });
  const limitedSends = metrics.createCounter({
    name: 'goldcrest_gateway_limited_sends_total',
    help: 'Requests that this VM sent to an upstream with a rate limit.',
    labelNames: ['upstream'],
  });
  return {
    setAnnouncedRate(upstream, requestsPerSecond) {
      if (requestsPerSecond !== undefined) announcedRates.set({ upstream }, requestsPerSecond);
      else {
        announcedRates.remove({ upstream });
        limitedSends.remove({ upstream });
      }
    },
    setRejectionLimit(service, rejectionsPerSecond) {
      if (rejectionsPerSecond === undefined) rejectionLimits.remove({ service });
      else rejectionLimits.set({ service }, rejectionsPerSecond);
    },
    countLimitedSend: (upstream) => limitedSends.inc({ upstream }),
  };
};
