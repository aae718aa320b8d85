/** The configuration table as an operator edits it. */
export * from './changePlan.js';
export * from './logTableClient.js';
export * from './rowFields.js';
export * from './rowKey.js';
export * from './tableClient.js';
export * from './tableFile.js';
