import type { MetricsRegistry } from '@goldcrestscale/runtime';

/** Metrics of times. */
export interface LatencyMetrics {
  observeResponse(elapsedMs: number): void;
  observeFirstByte(elapsedMs: number): void;
  /** Observes the time for which a request may have waited until its head was read. */
  observeUnread(waitedMs: number): void;
  /** Observes how old what was known of a block store was when parts were fetched from it. */
  observeEpochAge(ageMs: number): void;
}

export const createLatencyMetrics = (metrics: MetricsRegistry): LatencyMetrics => {
  const responseLatency = metrics.createLatencyHistogram({
    name: 'goldcrest_gateway_answer_ms',
    help: 'Time from a request to the end of its answer.',
  });
  const firstByteLatency = metrics.createLatencyHistogram({
    name: 'goldcrest_gateway_first_byte_ms',
    help: 'Time from a request to the first byte of its answer.',
  });
  const unreadLatency = metrics.createLatencyHistogram({
    name: 'goldcrest_gateway_unread_ms',
    help: 'Longest time for which a request may have waited until its head was read.',
  });
  const epochAge = metrics.createLatencyHistogram({
    name: 'goldcrest_gateway_store_epoch_age_ms',
    help: 'Age of what was known of a block store when parts were fetched from it.',
  });
  return {
    observeResponse: (elapsedMs) => responseLatency.observe(elapsedMs),
    observeFirstByte: (elapsedMs) => firstByteLatency.observe(elapsedMs),
    observeUnread: (waitedMs) => unreadLatency.observe(waitedMs),
    observeEpochAge: (ageMs) => epochAge.observe(ageMs),
  };
};
