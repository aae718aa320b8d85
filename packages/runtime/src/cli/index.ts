/** Command line shared by all binaries. */
export * from './cliError.js';
export * from './cli.js';
export * from './exitCodes.js';
export * from './cliHost.js';
export * from './formatColumns.js';
