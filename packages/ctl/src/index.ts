/** Command-line tool for operators. */
export * from './commands/index.js';
export * from './config.js';
export * from './constants.js';
export * from './program.js';
export * from './table/index.js';
