/** Operator configuration of routes, services, accounts and model weights. */
export type {
  BlockStoreSettings,
  CallerLimits,
  DeployedAccount,
  Deployment,
  EngineSettings,
  ServiceSettings,
} from './deployment.js';
export { DeploymentView, pickDestination } from './deploymentView.js';
export { OperatorState, computeMaxWeightsAgeMs } from './operatorState.js';
export type { OperatorChange, WantedWeights } from './operatorState.js';
export type { Destination, RouteRule } from './routeRule.js';
