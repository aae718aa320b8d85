/** Shared by all binaries: settings, command line, logging, metrics, servers and JSON parsing. */
export * from './cli/index.js';
export * from './connections/index.js';
export * from './eventLoop/index.js';
export * from './http/index.js';
export * from './json/index.js';
export * from './listen.js';
export * from './logger/index.js';
export * from './metrics/index.js';
export * from './process/index.js';
export * from './settings/index.js';
