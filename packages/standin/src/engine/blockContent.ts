import { createHash } from 'node:crypto';

/** Generates the bytes of a computed block; they follow from its key, so that a mix-up shows. */
export const generateBlockContent = (key: string, bytes: number): Buffer =>
  Buffer.alloc(bytes, createHash('sha256').update(key).digest());

/** Computes the checksum of a block: SHA-256 in hexadecimal. */
export const computeChecksum = (content: Buffer): string =>
  createHash('sha256').update(content).digest('hex');
