/** The operators' configuration table. */
export * from './rows.js';
