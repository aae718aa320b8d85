import { createHash } from 'node:crypto';
import { BYTES_PER_TOKEN } from './constants.js';

const HASH_BITS_BYTES = 4;
const TOKEN_RADIX = 36;

/** Generates one token of an answer: a function of weight version, prompt and position. */
export const generateToken = (version: string, prompt: string, index: number): string => {
  const digest = createHash('sha256').update(`${version}\n${prompt}\n${index}`).digest();
  return ` ${digest.readUIntBE(0, HASH_BITS_BYTES).toString(TOKEN_RADIX)}`;
};

/** Generates a whole answer, so that a client can check the one that it got. */
export const generateAnswer = (version: string, prompt: string, tokens: number): string =>
  Array.from({ length: tokens }, (_, index) => generateToken(version, prompt, index)).join('');

/** Counts the tokens of a text. */
export const countTokens = (text: string): number =>
  Math.ceil(Buffer.byteLength(text) / BYTES_PER_TOKEN);
