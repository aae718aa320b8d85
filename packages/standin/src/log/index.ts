/** Stand-in for the append-only log. */
export * from './logRole.js';
