/** VM list. */
export * from './vmListRole.js';
