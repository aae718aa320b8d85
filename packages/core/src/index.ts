/** Decision code of goldcrestscale; opens no sockets. */
export * from './admission/index.js';
export * from './breaker/index.js';
export * from './configTable/index.js';
export * from './errors.js';
export * from './ids.js';
export * from './lease/index.js';
export * from './log/index.js';
export * from './membership/index.js';
export * from './once/index.js';
export * from './orders/index.js';
export * from './random.js';
export * from './prefix/index.js';
export * from './retry/index.js';
export * from './routing/index.js';
export * from './slots/index.js';
export * from './tiering/index.js';
export * from './verdict.js';
