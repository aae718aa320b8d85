/** Plain service. */
export * from './serviceRole.js';
