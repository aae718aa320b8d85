export { ConnectionArrivals } from './connectionArrivals.js';
export type { ConnectionArrivalsOptions } from './connectionArrivals.js';
export { ListenerConnections } from './listenerConnections.js';
export type { ConnectionLoss, ListenerConnectionsOptions } from './listenerConnections.js';
export { SocketBudget } from './socketBudget.js';
export type { ShareLimits, SocketShare } from './socketShare.js';
export { watchRequests } from './watchRequests.js';
export type { RequestWatcher } from './watchRequests.js';
