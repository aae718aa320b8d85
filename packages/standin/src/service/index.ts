/** Stand-in for a plain service. */
export * from './serviceRole.js';
