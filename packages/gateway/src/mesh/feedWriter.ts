import { LENGTH_FIELD_BYTES, computeFrameMac } from './feedFrame.js';
import type { FrameAuth } from './feedFrame.js';

/** Encodes the frames of one direction of a connection. */
export class FeedWriter {
  private frameIndex = 0;

  constructor(private readonly auth: FrameAuth) {}

  /** @param content message content from `encodeFeedContent` */
  encode(content: Buffer): Buffer {
    const head = Buffer.alloc(LENGTH_FIELD_BYTES);
    head.writeUInt32BE(content.length);
    const mac = computeFrameMac(this.auth, this.frameIndex, content);
    this.frameIndex += 1;
    return Buffer.concat([head, mac, content]);
  }
}
