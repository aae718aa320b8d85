import { timingSafeEqual } from 'node:crypto';
import type { ByteBudget } from '@goldcrestscale/runtime';
import { FeedError } from './feedError.js';
import { LENGTH_FIELD_BYTES, MAC_BYTES, computeFrameMac } from './feedFrame.js';
import type { FrameAuth } from './feedFrame.js';
import { decodeFeedContent } from './feedMessage.js';
import type { FeedMessage } from './feedMessage.js';

/** Maximum size of the first message of a sender that is not known before. */
export const MAX_FIRST_MESSAGE_BYTES = 512;

const HEAD_BYTES = LENGTH_FIELD_BYTES + MAC_BYTES;

/** Initial size of the buffer for a message that comes in parts; doubled as more comes. */
const MIN_BUFFER_BYTES = 1_024;

const EMPTY = Buffer.alloc(0);

/** What a reader may keep. */
export interface FeedReaderLimits {
  /** Maximum size of a message of an authenticated sender. */
  readonly maxMessageBytes: number;
  /** Memory for messages in part, shared by all connections. */
  readonly budget: ByteBudget;
}

/** Decodes the frames of one direction of a connection and verifies their MACs. */
export class FeedReader {
  private readonly head = Buffer.alloc(HEAD_BYTES);

  private headBytes = 0;

  private content: Buffer = EMPTY;

  private contentBytes = 0;

  private frameIndex = 0;

  private senderAuth: FrameAuth | undefined;

  private startedAtMs: number | undefined;

  /** Monotonic time of the last data, or of the begin. */
  private lastDataAtMs = performance.now();

  /** @param auth key and nonce of the sender, or how to find them from its first message */
  constructor(
    private readonly auth: FrameAuth | ((first: FeedMessage) => FrameAuth | undefined),
    private readonly limits: FeedReaderLimits,
  ) {
    if (typeof auth !== 'function') this.senderAuth = auth;
  }

  /** Monotonic time at which the message in part began; undefined between messages. */
  get partStartedAtMs(): number | undefined {
    return this.startedAtMs;
  }

  get receivedAtMs(): number {
    return this.lastDataAtMs;
  }

  /** @throws FeedError if a frame is invalid, fails authentication or has no memory */
  push(chunk: Buffer): readonly FeedMessage[] {
    this.lastDataAtMs = performance.now();
    const messages: FeedMessage[] = [];
    for (let offset = 0; offset < chunk.length;) {
      this.startedAtMs ??= this.lastDataAtMs;
      offset += this.collectHead(chunk, offset);
      if (this.headBytes < HEAD_BYTES) break;
      const rest = chunk.subarray(offset, offset + this.contentLength - this.contentBytes);
      offset += rest.length;
      const content = this.collectContent(rest);
      if (content) messages.push(this.decode(content));
    }
    return messages;
  }

  /** Gives back the memory of a message in part. */
  release(): void {
    this.limits.budget.release(this.content.length);
    this.content = EMPTY;
    this.contentBytes = 0;
    this.headBytes = 0;
    this.startedAtMs = undefined;
  }

  private get contentLength(): number {
    return this.head.readUInt32BE();
  }

  private collectHead(chunk: Buffer, offset: number): number {
    const taken = chunk.copy(this.head, this.headBytes, offset);
    this.headBytes += taken;
    if (this.headBytes >= LENGTH_FIELD_BYTES) {
      const { contentLength } = this;
      const maxBytes = this.senderAuth ? this.limits.maxMessageBytes : MAX_FIRST_MESSAGE_BYTES;
      if (contentLength > maxBytes) {
        throw new FeedError(`message too large: ${contentLength} bytes`);
      }
    }
    return taken;
  }

  /** @returns the whole content once it is there */
  private collectContent(part: Buffer): Buffer | undefined {
    if (part.length === this.contentLength) return part;
    const collectedBytes = this.contentBytes + part.length;
    if (collectedBytes > this.content.length) this.reserveBuffer(collectedBytes);
    part.copy(this.content, this.contentBytes);
    this.contentBytes = collectedBytes;
    return collectedBytes === this.contentLength
      ? this.content.subarray(0, collectedBytes)
      : undefined;
  }

  private reserveBuffer(neededBytes: number): void {
    const size = Math.min(
      this.contentLength,
      Math.max(MIN_BUFFER_BYTES, neededBytes, 2 * this.content.length),
    );
    if (!this.limits.budget.tryReserve(size - this.content.length)) {
      throw new FeedError('no memory for a message');
    }
    const grown = Buffer.allocUnsafeSlow(size);
    this.content.copy(grown, 0, 0, this.contentBytes);
    this.content = grown;
  }

  private decode(content: Buffer): FeedMessage {
    const mac = Buffer.from(this.head.subarray(LENGTH_FIELD_BYTES));
    this.release();
    if (this.senderAuth) this.verify(mac, content, this.senderAuth);
    const message = decodeFeedContent(content);
    if (!this.senderAuth) {
      const found = typeof this.auth === 'function' ? this.auth(message) : this.auth;
      if (!found) throw new FeedError('unknown sender');
      this.verify(mac, content, found);
      this.senderAuth = found;
    }
    this.frameIndex += 1;
    return message;
  }

  private verify(mac: Buffer, content: Buffer, auth: FrameAuth): void {
    if (!timingSafeEqual(mac, computeFrameMac(auth, this.frameIndex, content))) {
      throw new FeedError('frame has an invalid authentication proof');
    }
  }
}
