import { createHash } from 'node:crypto';

/**
 * Generates the content of a computed block from its key, so that swapped blocks are detectable.
 */
export const generateBlockContent = (key: string, bytes: number): Buffer =>
  Buffer.alloc(bytes, createHash('sha256').update(key).digest());

/** Computes the SHA-256 checksum of a block, in hexadecimal. */
export const computeChecksum = (content: Buffer): string =>
  createHash('sha256').update(content).digest('hex');
