/** Blocks in the stores beside the engines. */
export { BlockDirectory, buildBlockKey } from './blockDirectory.js';
export type { StoredBlockChange } from './blockDirectory.js';
