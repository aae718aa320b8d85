/** HTTP clients for the platform's log, VM list and weight store. */
export * from './httpLogStream.js';
export * from './vmListClient.js';
export * from './weightStoreClient.js';
