import type { PlaceRefusal } from '@goldcrestscale/core';
import type { MetricsRegistry } from '@goldcrestscale/runtime';

/** Metrics of the requests that wait for places at upstreams. */
export interface PlaceMetrics {
  /** Adds to the requests that wait in this VM. */
  countWaiting(service: string, added: number): void;
  /** Observes how long a request waited for its place. */
  observePlaceWait(waitedMs: number): void;
  /** Counts a request that got no place in time, with its estimated wait. */
  countPlaceRefusal(
    service: string,
    refusal: Pick<PlaceRefusal, 'cause' | 'priority' | 'estimatedMs'>,
  ): void;
}

/** Creates the metrics of places. */
export const createPlaceMetrics = (metrics: MetricsRegistry): PlaceMetrics => {
  const counts = new Map<string, number>();
  const waiting = metrics.createGauge({
    name: 'goldcrest_gateway_waiting_requests',
    help: 'Requests that wait in this VM for places at upstreams.',
    labelNames: ['service'],
  });
  const waits = metrics.createLatencyHistogram({
    name: 'goldcrest_gateway_place_wait_ms',
    help: 'Time that requests waited in this VM until they got places.',
  });
  const refusals = metrics.createCounter({
    name: 'goldcrest_gateway_place_refusals_total',
    help: 'Requests that got no place in time, by cause and priority.',
    labelNames: ['service', 'cause', 'priority'],
  });
  const estimate = metrics.createGauge({
    name: 'goldcrest_gateway_place_estimate_ms',
    help: 'Estimated wait of the last request that got no place.',
    labelNames: ['service'],
  });
  return {
    countWaiting(service, added) {
      const count = (counts.get(service) ?? 0) + added;
      counts.set(service, count);
      waiting.set({ service }, count);
    },
    observePlaceWait: (waitedMs) => waits.observe(waitedMs),
    countPlaceRefusal(service, { cause, priority, estimatedMs }) {
      refusals.inc({ service, cause, priority: String(priority) });
      estimate.set({ service }, estimatedMs);
    },
  };
};
