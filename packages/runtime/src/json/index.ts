/** Parsing of untrusted JSON. */
export * from './parseJson.js';
