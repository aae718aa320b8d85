import { LENGTH_FIELD_BYTES, computeFrameMac } from './feedFrame.js';
import type { FrameAuth } from './feedFrame.js';

/** Encodes the frames of one direction of a connection. */
export class FeedWriter {
  private frameIndex = 0;

  constructor(private readonly auth: FrameAuth) {}

  /** @param content message content from `encodeFeedContent` */
  encode(content: Buffer): Buffer {
    return Buffer.concat([this.encodeHead(content), content]);
  }

  /** Encodes what comes before a content, which other connections may send as well. */
  encodeHead(content: Buffer): Buffer {
    const length = Buffer.alloc(LENGTH_FIELD_BYTES);
    length.writeUInt32BE(content.length);
    const mac = computeFrameMac(this.auth, this.frameIndex, content);
    this.frameIndex += 1;
    return Buffer.concat([length, mac]);
  }
}
