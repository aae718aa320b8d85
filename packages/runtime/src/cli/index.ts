/** Command-line habits of every binary. */
export * from './cliError.js';
export * from './cli.js';
export * from './exitCodes.js';
export * from './cliHost.js';
export * from './formatColumns.js';
