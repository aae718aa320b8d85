import type { Metrics } from '@goldcrestscale/runtime';

/** Counters and latencies of the gateway. */
export interface GatewayMetrics {
  /** Counts a caller's answer by route and outcome. */
  countAnswer(route: string | undefined, outcome: string): void;
  /** Counts an attempt at an upstream by its outcome. */
  countAttempt(service: string, outcome: string): void;
  /** Counts a whole answer that came later than its route's objective. */
  countLate(route: string): void;
  observeAnswer(elapsedMs: number): void;
  observeFirstByte(elapsedMs: number): void;
  countConnection(): void;
  render(): Promise<string>;
}

/** Creates the metrics of the gateway. */
export const createGatewayMetrics = (metrics: Metrics): GatewayMetrics => {
  const answers = metrics.createCounter({
    name: 'goldcrest_gateway_answers_total',
    help: 'Answers to callers by route and outcome.',
    labelNames: ['route', 'outcome'],
  });
  const attempts = metrics.createCounter({
    name: 'goldcrest_gateway_attempts_total',
    help: 'Attempts at upstreams by service and outcome.',
    labelNames: ['service', 'outcome'],
  });
  const late = metrics.createCounter({
    name: 'goldcrest_gateway_late_answers_total',
    help: 'Whole answers that came later than the objective of their route.',
    labelNames: ['route'],
  });
  const connections = metrics.createCounter({
    name: 'goldcrest_gateway_connections_total',
    help: 'Connections opened to upstreams.',
  });
  const elapsed = metrics.createLatencyHistogram({
    name: 'goldcrest_gateway_answer_ms',
    help: 'Time from a request to the end of its answer.',
  });
  const firstByte = metrics.createLatencyHistogram({
    name: 'goldcrest_gateway_first_byte_ms',
    help: 'Time from a request to the first byte of its answer.',
  });
  return {
    countAnswer: (route, outcome) => answers.inc({ route: route ?? 'none', outcome }),
    countLate: (route) => late.inc({ route }),
    countAttempt: (service, outcome) => attempts.inc({ service, outcome }),
    observeAnswer: (elapsedMs) => elapsed.observe(elapsedMs),
    observeFirstByte: (elapsedMs) => firstByte.observe(elapsedMs),
    countConnection: () => connections.inc(),
    render: () => metrics.render(),
  };
};
