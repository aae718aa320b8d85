import type {
  PaceChange,
  ServiceName,
  UpstreamPaces,
  UpstreamRegistry,
} from '@goldcrestscale/core';
import type { Logger, MetricsRegistry } from '@goldcrestscale/runtime';
import { RequestLog } from './requestLog.js';

/** Slowdown from which an upstream counts as slow in the metrics. */
const SLOW = 1.5;

/** What this VM knows of the speed of a service's upstreams. */
export interface ServiceSpeedState {
  readonly service: ServiceName;
  readonly slow: number;
  readonly paced: number;
  readonly highestSlowdown: number;
}

/** Metrics of the speed of upstreams, and of their paces after a start or a recovery. */
export interface SpeedMetrics {
  /** Sets what is known of each service whose upstreams are compared. */
  setSpeeds(states: readonly ServiceSpeedState[]): void;
  /** Counts an upstream whose pace has begun. */
  countPace(service: string): void;
}

/** Collects what is known of each service whose upstreams are compared. */
export const collectSpeeds = (
  registry: UpstreamRegistry,
  paces: UpstreamPaces,
): readonly ServiceSpeedState[] => {
  const states = new Map<ServiceName, ServiceSpeedState>();
  registry.list().forEach((upstream) => {
    if (!upstream.speed.isCompared) return;
    const { service } = upstream.registered;
    const { slowdown } = upstream;
    const state = states.get(service) ?? { service, slow: 0, paced: 0, highestSlowdown: 0 };
    states.set(service, {
      service,
      slow: state.slow + Number(slowdown >= SLOW),
      paced: state.paced + Number(paces.find(upstream) !== undefined),
      highestSlowdown: Math.max(state.highestSlowdown, slowdown),
    });
  });
  return [...states.values()];
};

export const createSpeedMetrics = (metrics: MetricsRegistry): SpeedMetrics => {
  const slow = metrics.createGauge({
    name: 'goldcrest_gateway_slow_upstreams',
    help: 'Upstreams at which work takes 1.5 times as long as usually at their service, or longer.',
    labelNames: ['service'],
  });
  const highest = metrics.createGauge({
    name: 'goldcrest_gateway_highest_slowdown',
    help: 'Highest slowdown among the upstreams of a service, relative to what is usual there.',
    labelNames: ['service'],
  });
  const paced = metrics.createGauge({
    name: 'goldcrest_gateway_paced_upstreams',
    help: 'Upstreams that get few requests because they have just started or recovered.',
    labelNames: ['service'],
  });
  const paces = metrics.createCounter({
    name: 'goldcrest_gateway_paces_total',
    help: 'Slow starts of upstreams that have started, or get requests again.',
    labelNames: ['service'],
  });
  return {
    setSpeeds(states) {
      states.forEach(({ service, ...state }) => {
        slow.set({ service }, state.slow);
        paced.set({ service }, state.paced);
        highest.set({ service }, state.highestSlowdown);
      });
    },
    countPace: (service) => paces.inc({ service }),
  };
};

/** Creates the report of paces that begin or end, in the log and the metrics. */
export const createPaceReport = (
  logger: Logger,
  metrics: SpeedMetrics,
): ((change: PaceChange) => void) => {
  const paceLog = new RequestLog(logger.createPartLogger('pace'));
  return ({ isPaced, ...fields }) => {
    paceLog.log(isPaced ? 'pace of upstream begins' : 'pace of upstream ended', fields);
    if (isPaced) metrics.countPace(fields.service);
  };
};
