import { createRefusal } from '@goldcrestscale/core';

/** How much JSON is taken. */
export interface ParseJsonOptions {
  /** Largest text, in bytes. */
  readonly maxBytes: number;
}

const HTTP_BAD_REQUEST = 400;
const HTTP_BODY_TOO_LARGE = 413;

/**
 * Parses JSON from outside.
 *
 * @throws GoldcrestError `body_too_large` or `bad_request`; neither quotes the text
 */
export const parseJson = (text: string | Buffer, { maxBytes }: ParseJsonOptions): unknown => {
  const bytes = Buffer.byteLength(text);
  if (bytes > maxBytes) {
    throw createRefusal(`The body has ${bytes} bytes; send at most ${maxBytes}.`, {
      code: 'body_too_large',
      status: HTTP_BODY_TOO_LARGE,
    });
  }
  try {
    return JSON.parse(text.toString()) as unknown;
  } catch {
    throw createRefusal('The body is not valid JSON; send one JSON value.', {
      code: 'bad_request',
      status: HTTP_BAD_REQUEST,
    });
  }
};
