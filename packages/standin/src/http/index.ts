/** Small HTTP server that every stand-in role uses. */
export * from './faultSet.js';
export * from './route.js';
export * from './standInServer.js';
