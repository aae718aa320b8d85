/** Append-only log. */
export * from './logRole.js';
