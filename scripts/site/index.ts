/** Starts a complete example site as separate processes on the loopback address. */
export * from './httpJson.js';
export * from './site.js';
export * from './siteSettings.js';
export * from './siteTable.js';
