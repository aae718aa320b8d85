/** Load generator. */
export * from './client/index.js';
export * from './config.js';
export * from './program.js';
export * from './report/index.js';
export * from './run/runLoad.js';
export * from './workload/index.js';
