import { createRefusal } from '@goldcrestscale/core';

/** Limits of the parser. */
export interface ParseJsonOptions {
  /** Maximum size of the text, in bytes. */
  readonly maxBytes: number;
}

const BAD_REQUEST_STATUS = 400;
const PAYLOAD_TOO_LARGE_STATUS = 413;

/**
 * Parses JSON from an untrusted source.
 *
 * @throws GoldcrestError `body_too_large` or `bad_request`; the message never contains the text
 */
export const parseJson = (text: string | Buffer, { maxBytes }: ParseJsonOptions): unknown => {
  const sizeBytes = Buffer.byteLength(text);
  if (sizeBytes > maxBytes) {
    throw createRefusal(`The body has ${sizeBytes} bytes; send at most ${maxBytes}.`, {
      code: 'body_too_large',
      status: PAYLOAD_TOO_LARGE_STATUS,
    });
  }
  try {
    return JSON.parse(text.toString()) as unknown;
  } catch {
    throw createRefusal('The body is not valid JSON; send one JSON value.', {
      code: 'bad_request',
      status: BAD_REQUEST_STATUS,
    });
  }
};
