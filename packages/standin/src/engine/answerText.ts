import { createHash } from 'node:crypto';
import { BYTES_PER_TOKEN } from './constants.js';

const TOKEN_HASH_BYTES = 4;
const TOKEN_RADIX = 36;

/** Generates one answer token, deterministically from weight version, prompt and position. */
export const generateToken = (version: string, prompt: string, index: number): string => {
  const digest = createHash('sha256').update(`${version}\n${prompt}\n${index}`).digest();
  return ` ${digest.readUIntBE(0, TOKEN_HASH_BYTES).toString(TOKEN_RADIX)}`;
};

/** Generates a complete answer, so that a client can verify the one that it received. */
export const generateAnswer = (version: string, prompt: string, tokens: number): string =>
  Array.from({ length: tokens }, (_, index) => generateToken(version, prompt, index)).join('');

export const countTokens = (text: string): number =>
  Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
