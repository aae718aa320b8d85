import type { IncomingMessage } from 'node:http';
import { createRefusal } from '@goldcrestscale/core';

/**
 * Reads a complete request body.
 *
 * @throws GoldcrestError `body_too_large` as soon as the limit is exceeded
 */
export const readBody = async (request: IncomingMessage, maxBytes: number): Promise<Buffer> => {
  const chunks: Buffer[] = [];
  let bytes = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    bytes += chunk.length;
    if (bytes > maxBytes) {
      throw createRefusal(`The body is larger than ${maxBytes} bytes.`, {
        code: 'body_too_large',
        status: 413,
      });
    }
    chunks.push(chunk);
  }
  return Buffer.concat(chunks, bytes);
};
