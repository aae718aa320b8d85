/** Output of goldcrestctl. */
export * from './formatTable.js';
export * from './printer.js';
