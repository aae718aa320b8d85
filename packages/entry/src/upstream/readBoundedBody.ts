import { MAX_RESPONSE_BODY_BYTES } from '../constants.js';

/** Reads a body. @throws the error of the connection, or RangeError if the body is too large */
export const readBoundedBody = async (body: AsyncIterable<Uint8Array>): Promise<Buffer> => {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.length;
    // Leaving the loop closes the connection.
    if (bytes > MAX_RESPONSE_BODY_BYTES) throw new RangeError('response too large');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks);
};
