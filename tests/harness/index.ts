/** Whole sites as processes, for tests of failures. */
export * from '../../scripts/site/callers/index.js';
export * from '../../scripts/site/httpJson.js';
export * from './judge.js';
export * from './load.js';
export * from './returningLoad.js';
export * from './testSite.js';
