/** What goldcrestctl prints. */
export * from './formatTable.js';
export * from './printer.js';
