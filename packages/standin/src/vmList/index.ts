/** Stand-in for the VM list. */
export * from './vmListRole.js';
