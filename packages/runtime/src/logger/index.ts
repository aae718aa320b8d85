/** Logs. */
export * from './logger.js';
export * from './logSettings.js';
export * from './redact.js';
