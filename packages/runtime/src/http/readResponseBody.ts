import { BodyBuffer } from './bodyBuffer.js';

/** What a piece of a body takes beside its bytes. */
const PIECE_BYTES = 128;

/** Thrown if a response takes more than any sound one. */
export class ResponseTooLargeError extends Error {
  override readonly name = 'ResponseTooLargeError';

  constructor(maxBytes: number) {
    super(`response too large: takes over ${maxBytes} bytes`);
  }
}

/**
 * Reads the complete body of a response.
 *
 * @param maxBytes maximum of what its pieces take
 * @throws ResponseTooLargeError, which ends the response
 */
export const readResponseBody = async (
  body: AsyncIterable<Buffer>,
  maxBytes: number,
): Promise<Buffer> => {
  const buffer = new BodyBuffer(undefined);
  let takenBytes = 0;
  for await (const chunk of body) {
    takenBytes += chunk.length + PIECE_BYTES;
    if (takenBytes > maxBytes) throw new ResponseTooLargeError(maxBytes);
    buffer.add(chunk);
  }
  return buffer.build();
};
