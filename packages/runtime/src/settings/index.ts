/** Settings files, their schemas and secrets. */
export * from './addressSchema.js';
export * from './loadSecret.js';
export * from './loadSettings.js';
export * from './maskSecrets.js';
export * from './nearestKey.js';
export * from './jsonSchema.js';
export * from './readSettingsFile.js';
export * from './settingsError.js';
export * from './settingsReference.js';
