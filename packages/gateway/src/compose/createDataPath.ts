import { FleetRetryBudget } from '@goldcrestscale/core';
import type { ServiceName } from '@goldcrestscale/core';
import { CONNECTION_SHARE } from '../constants.js';
import type { Shutdown } from '../controllers/shutdown.js';
import { DecisionLog } from '../decisionLog.js';
import type { ConnectionPool } from '../dispatch/connectionPool.js';
import { UpstreamChooser } from '../dispatch/upstreamChooser.js';
import { createGatewayFilters } from '../filters/index.js';
import type { GatewayOptions } from '../gatewayOptions.js';
import { createGatewayServer } from '../http/callerServer.js';
import type { GatewayServer } from '../http/callerServer.js';
import type { Controllers } from './createControllers.js';
import type { Knowledge } from './createKnowledge.js';

/** What the data path is built from. */
export interface DataPathParts {
  readonly knowledge: Knowledge;
  readonly operators: Controllers['operators'];
  readonly shutdown: Shutdown;
  readonly connections: ConnectionPool;
  readonly gossip: Controllers['gossip'];
}

const createRetryBudget = (
  { bounds }: GatewayOptions['settings'],
  countVms: () => number,
): FleetRetryBudget =>
  new FleetRetryBudget(
    { ratio: bounds.retryRatio, allowance: bounds.retryAllowance, windowMs: bounds.retryWindowMs },
    countVms,
  );

/** Creates the way of a request: the callers' listener, the filters and what they decide with. */
export const createDataPath = (
  { settings, metrics, callers, logger, upstreams }: GatewayOptions,
  { knowledge, operators, shutdown, connections, gossip }: DataPathParts,
): GatewayServer => {
  const { roster } = knowledge;
  const countVms = (): number => Math.max(1, roster.listSharing().length);
  const getConnectionShare = (service: ServiceName): number => {
    const limit = operators.state.view?.findService(service)?.connectionLimit ?? Infinity;
    return Math.max(1, Math.floor((limit * CONNECTION_SHARE) / countVms()));
  };
  const filters = createGatewayFilters({
    guard: {
      decisions: new DecisionLog(logger.createPart('requests')),
      metrics,
      protocol: callers,
    },
    getView: () => operators.state.view,
    isRefusing: () => shutdown.isRefusing,
    dispatch: {
      chooser: new UpstreamChooser({
        ...knowledge,
        self: settings.vmId,
        zone: settings.availabilityZone,
        bounds: settings.bounds,
        regions: settings.regions,
        operators: operators.state,
      }),
      connections,
      protocol: upstreams,
      retryBudget: createRetryBudget(settings, countVms),
      ejection: knowledge.ejection,
      blocks: knowledge.blocks,
      horizon: operators.horizon,
      metrics,
      getConnectionShare,
      onPromptSent: (tokens) => gossip.handlePromptSent(tokens),
    },
  });
  return createGatewayServer({ protocol: callers, filters, isLeaving: () => shutdown.isLeaving });
};
