import { createHmac } from 'node:crypto';

/** Bytes of a frame's length, at its beginning. */
export const LENGTH_BYTES = 4;

/** Bytes of a frame's proof, after its length. */
export const PROOF_BYTES = 12;

/** What proves the frames of one direction of a connection. */
export interface FeedIdentity {
  /** Key of the sender. */
  readonly key: string;
  /** Drawn anew for each connection, so that no frame is of use on another. */
  readonly nonce: string;
}

/** Proves a frame's content and its place in the order. */
export const proveFrame = ({ key, nonce }: FeedIdentity, count: number, content: Buffer): Buffer =>
  createHmac('sha256', key)
    .update(`${nonce}/${count}/`)
    .update(content)
    .digest()
    .subarray(0, PROOF_BYTES);
