/** Client, parsing and change planning for the configuration table. */
export * from './changePlan.js';
export * from './logTableClient.js';
export * from './rowFields.js';
export * from './rowKey.js';
export * from './tableClient.js';
export * from './tableFile.js';
