import { LENGTH_BYTES, proveFrame } from './feedFrame.js';
import type { FeedIdentity } from './feedFrame.js';

/** Frames the messages of one direction of a connection. */
export class FeedWriter {
  private count = 0;

  constructor(private readonly identity: FeedIdentity) {}

  /** @param content a message's content, as `encodeFeedContent` gives it */
  encode(content: Buffer): Buffer {
    const head = Buffer.alloc(LENGTH_BYTES);
    head.writeUInt32BE(content.length);
    const proof = proveFrame(this.identity, this.count, content);
    this.count += 1;
    return Buffer.concat([head, proof, content]);
  }
}
