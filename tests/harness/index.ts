/** Harness for failure tests: a complete site with one local process for each VM and platform service. */
export * from '../../scripts/site/callers/index.js';
export * from '../../scripts/site/httpJson.js';
export * from './checkNonIdempotentCalls.js';
export * from './closedLoopLoad.js';
export * from './returningConversationLoad.js';
export * from './testSite.js';
