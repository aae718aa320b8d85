export { computeCallerDeadlineMs } from './callerDeadline.js';
export type { RequestArrival } from './callerDeadline.js';
export { trackCaller } from './callerConnection.js';
