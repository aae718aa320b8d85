/** Minimal HTTP server for the stand-in roles. */
export * from './faultSet.js';
export * from './route.js';
export * from './standInServer.js';
