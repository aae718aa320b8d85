import { createHash } from 'node:crypto';
import { BYTES_PER_TOKEN } from '../constants.js';

const CHUNK_DIGESTS = 4;

/**
 * Generates the text of a prompt. A session's longer prompt begins with its shorter one, and two
 * sessions share no block.
 */
export const generatePrompt = (seed: number, session: string, tokens: number): string => {
  const wanted = tokens * BYTES_PER_TOKEN;
  const chunks: string[] = [];
  let length = 0;
  for (let index = 0; length < wanted; index += 1) {
    const digest = createHash('sha256').update(`${seed}\n${session}\n${index}`).digest('hex');
    const chunk = digest.repeat(CHUNK_DIGESTS);
    chunks.push(chunk);
    length += chunk.length;
  }
  return chunks.join('').slice(0, wanted);
};

/** Renders one user message as the prompt text that an engine's answer is a function of. */
export const renderChatPrompt = (content: string): string => `user: ${content}`;

const HASH_BYTES = 4;
const TOKEN_RADIX = 36;

/** Generates the answer that a stand-in engine gives to a prompt. */
export const generateExpectedAnswer = (version: string, prompt: string, tokens: number): string => {
  const prefix = createHash('sha256').update(`${version}\n${prompt}\n`);
  return Array.from({ length: tokens }, (_, index) => {
    const digest = prefix.copy().update(String(index)).digest();
    return ` ${digest.readUIntBE(0, HASH_BYTES).toString(TOKEN_RADIX)}`;
  }).join('');
};
