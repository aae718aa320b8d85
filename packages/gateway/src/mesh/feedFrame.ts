import { createHmac } from 'node:crypto';

/** Size of the length field at the start of a frame. */
export const LENGTH_FIELD_BYTES = 4;

/** Size of the truncated MAC that follows the length field. */
export const MAC_BYTES = 12;

/** Parameters that authenticate the frames of one direction of a connection. */
export interface FrameAuth {
  /** MAC key of the sender. */
  readonly key: string;
  /** Unique for each connection, so that frames can't be replayed on another one. */
  readonly nonce: string;
}

/** Computes the MAC of a frame, which covers its content and its sequence number. */
export const computeFrameMac = (
  { key, nonce }: FrameAuth,
  frameIndex: number,
  content: Buffer,
): Buffer =>
  createHmac('sha256', key)
    .update(`${nonce}/${frameIndex}/`)
    .update(content)
    .digest()
    .subarray(0, MAC_BYTES);
