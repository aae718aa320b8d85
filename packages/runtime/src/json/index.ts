/** Parsing of JSON from outside. */
export * from './parseJson.js';
