/** Harness for failure tests: a complete site with one local process for each VM and platform service. */
export * from '../../scripts/site/callers/index.js';
export * from '../../scripts/site/httpJson.js';
export * from './judge.js';
export * from './load.js';
export * from './returningLoad.js';
export * from './testSite.js';
