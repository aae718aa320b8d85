import { createHash } from 'node:crypto';
import { BYTES_PER_TOKEN } from '../constants.js';

const DIGEST_REPEATS = 4;

/**
 * Generates the text of a prompt. Prompts of one session extend each other; prompts of different
 * sessions share no block.
 */
export const generatePrompt = (seed: number, session: string, tokens: number): string => {
  const targetBytes = tokens * BYTES_PER_TOKEN;
  const chunks: string[] = [];
  let length = 0;
  for (let index = 0; length < targetBytes; index += 1) {
    const digest = createHash('sha256').update(`${seed}\n${session}\n${index}`).digest('hex');
    const chunk = digest.repeat(DIGEST_REPEATS);
    chunks.push(chunk);
    length += chunk.length;
  }
  return chunks.join('').slice(0, targetBytes);
};

/** Renders one user message as the prompt text from which a stand-in engine derives its answer. */
export const renderChatPrompt = (content: string): string => `user: ${content}`;

const TOKEN_HASH_BYTES = 4;
const TOKEN_RADIX = 36;

/** Generates the answer of a stand-in engine to a prompt. */
export const generateExpectedAnswer = (version: string, prompt: string, tokens: number): string => {
  const prefix = createHash('sha256').update(`${version}\n${prompt}\n`);
  return Array.from({ length: tokens }, (_, index) => {
    const digest = prefix.copy().update(String(index)).digest();
    return ` ${digest.readUIntBE(0, TOKEN_HASH_BYTES).toString(TOKEN_RADIX)}`;
  }).join('');
};
