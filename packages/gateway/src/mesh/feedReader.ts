import { timingSafeEqual } from 'node:crypto';
import { FeedError } from './feedError.js';
import { LENGTH_FIELD_BYTES, MAC_BYTES, computeFrameMac } from './feedFrame.js';
import type { FrameAuth } from './feedFrame.js';
import { decodeFeedContent } from './feedMessage.js';
import type { FeedMessage } from './feedMessage.js';

/** Maximum message size. The largest messages list all blocks of a large store. */
const MAX_FEED_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Decodes the frames of one direction of a connection and verifies their MACs. */
export class FeedReader {
  private buffered: Buffer = Buffer.alloc(0);

  private frameIndex = 0;

  private senderAuth: FrameAuth | undefined;

  /** @param findSenderAuth finds the key and nonce of the sender from its first message */
  constructor(private readonly findSenderAuth: (first: FeedMessage) => FrameAuth | undefined) {}

  /** Bytes that are held of a message in part. */
  get heldBytes(): number {
    return this.buffered.length;
  }

  /** @throws FeedError if a frame is invalid or fails authentication */
  push(chunk: Buffer): readonly FeedMessage[] {
    this.buffered = this.buffered.length === 0 ? chunk : Buffer.concat([this.buffered, chunk]);
    const messages: FeedMessage[] = [];
    for (let content = this.takeContent(); content; content = this.takeContent()) {
      messages.push(this.decode(content));
    }
    return messages;
  }

  private takeContent(): Buffer | undefined {
    if (this.buffered.length < LENGTH_FIELD_BYTES) return undefined;
    const length = this.buffered.readUInt32BE();
    if (length > MAX_FEED_MESSAGE_BYTES) throw new FeedError(`message too large: ${length} bytes`);
    const end = LENGTH_FIELD_BYTES + MAC_BYTES + length;
    if (this.buffered.length < end) return undefined;
    const content = this.buffered.subarray(LENGTH_FIELD_BYTES, end);
    this.buffered = this.buffered.subarray(end);
    return content;
  }

  private decode(frame: Buffer): FeedMessage {
    const content = frame.subarray(MAC_BYTES);
    const message = decodeFeedContent(content);
    this.senderAuth ??= this.findSenderAuth(message);
    if (!this.senderAuth) throw new FeedError('unknown sender');
    const mac = computeFrameMac(this.senderAuth, this.frameIndex, content);
    if (!timingSafeEqual(mac, frame.subarray(0, MAC_BYTES))) {
      throw new FeedError('frame has an invalid authentication proof');
    }
    this.frameIndex += 1;
    return message;
  }
}
