/** Identity of prompt blocks and the index of who holds them. */
export * from './blockChain.js';
export * from './constants.js';
