import type { MetricsRegistry } from '@goldcrestscale/runtime';

/** Metrics of the calls that this VM makes for itself. */
export interface CallMetrics {
  /** Counts a call without a usable response, by the kind of call and the reason. */
  countFailedCall(kind: string, reason: string): void;
  /** Sets the bytes of responses that are held, by the kind of server that sends them. */
  setCallBytes(server: string, bytes: number): void;
}

/** Creates the metrics of the calls that this VM makes for itself. */
export const createCallMetrics = (metrics: MetricsRegistry): CallMetrics => {
  const failures = metrics.createCounter({
    name: 'goldcrest_gateway_failed_calls_total',
    help: 'Calls of this VM to the log, engines and block stores without a usable response.',
    labelNames: ['kind', 'reason'],
  });
  const heldBytes = metrics.createGauge({
    name: 'goldcrest_gateway_call_bytes',
    help: 'Bytes of responses to calls of this VM that are held until they are complete.',
    labelNames: ['server'],
  });
  return {
    countFailedCall: (kind, reason) => failures.inc({ kind, reason }),
    setCallBytes: (server, bytes) => heldBytes.set({ server }, bytes),
  };
};
