import { timingSafeEqual } from 'node:crypto';
import { FeedError } from './feedError.js';
import { LENGTH_BYTES, PROOF_BYTES, proveFrame } from './feedFrame.js';
import type { FeedIdentity } from './feedFrame.js';
import { decodeFeedContent } from './feedMessage.js';
import type { FeedMessage } from './feedMessage.js';

/** Longest message, in bytes: all blocks of a large store. */
const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;

/** Splits the bytes of one direction of a connection into messages and checks their proofs. */
export class FeedReader {
  private held: Buffer = Buffer.alloc(0);

  private count = 0;

  private sender: FeedIdentity | undefined;

  /**
   * @param findSender gives the key and nonce of the sender, where only its first message tells
   *   them
   */
  constructor(private readonly findSender: (first: FeedMessage) => FeedIdentity | undefined) {}

  /** @throws FeedError where a proof does not hold */
  push(chunk: Buffer): readonly FeedMessage[] {
    this.held = this.held.length === 0 ? chunk : Buffer.concat([this.held, chunk]);
    const messages: FeedMessage[] = [];
    for (let content = this.takeContent(); content; content = this.takeContent()) {
      messages.push(this.decode(content));
    }
    return messages;
  }

  private takeContent(): Buffer | undefined {
    if (this.held.length < LENGTH_BYTES) return undefined;
    const length = this.held.readUInt32BE();
    if (length > MAX_MESSAGE_BYTES) throw new FeedError(`message of ${length} bytes`);
    const end = LENGTH_BYTES + PROOF_BYTES + length;
    if (this.held.length < end) return undefined;
    const content = this.held.subarray(LENGTH_BYTES, end);
    this.held = this.held.subarray(end);
    return content;
  }

  private decode(framed: Buffer): FeedMessage {
    const content = framed.subarray(PROOF_BYTES);
    const message = decodeFeedContent(content);
    this.sender ??= this.findSender(message);
    if (!this.sender) throw new FeedError('sender not known');
    const proof = proveFrame(this.sender, this.count, content);
    if (!timingSafeEqual(proof, framed.subarray(0, PROOF_BYTES))) {
      throw new FeedError('proof does not hold');
    }
    this.count += 1;
    return message;
  }
}
