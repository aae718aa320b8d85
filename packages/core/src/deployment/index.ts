/** Operator configuration of routes, services, accounts and model weights. */
export type {
  BlockStoreSettings,
  CallerLimits,
  DeployedAccount,
  Deployment,
  EngineSettings,
  ServiceSettings,
} from './deployment.js';
export { checkDeployment } from './deploymentCheck.js';
export type { DeploymentFinding, FindingSeverity } from './deploymentCheck.js';
export { diffDeployments } from './deploymentDiff.js';
export type { DeploymentChange } from './deploymentDiff.js';
export { DeploymentView, pickDestination } from './deploymentView.js';
export { OperatorState, computeMaxWeightsAgeMs } from './operatorState.js';
export type { OperatorChange, WantedWeights } from './operatorState.js';
export type { Destination, RouteRule } from './routeRule.js';
