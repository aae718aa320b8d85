export { readFileDescriptorLimit } from './fileDescriptorLimit.js';
/** Signals, crash and exit of a process. */
export * from './daemonLifecycle.js';
export * from './processSignals.js';
export { findFreePorts } from './freePorts.js';
