import { PartAllowance } from '@goldcrestscale/runtime';
import { MAX_BUFFERED_RESPONSE_BYTES, MAX_EVENT_BYTES, MAX_RESPONSE_BYTES } from '../constants.js';
import { InvalidResponseError } from './invalidResponseError.js';

/** What of a response is kept. */
export interface KeptPart {
  /** Whether the whole response is buffered. */
  readonly isBuffered: boolean;
  /** Number of bytes that belong to no complete event. */
  readonly partialEventBytes: number;
}

/** Counts what comes of a response, which may have no end. */
export class ResponseSize {
  private readonly allowance = new PartAllowance();

  private receivedBytes = 0;

  /** Whether more has come than is ever buffered. */
  get isTooLargeToBuffer(): boolean {
    return this.receivedBytes > MAX_BUFFERED_RESPONSE_BYTES;
  }

  add(chunk: Buffer): void {
    this.receivedBytes += chunk.length;
  }

  /** Finds out which limit a response exceeds with the chunk that was added last. */
  findExcess(
    chunk: Buffer,
    { isBuffered, partialEventBytes }: KeptPart,
  ): InvalidResponseError | undefined {
    if (!this.allowance.tryTake(chunk.length))
      return new InvalidResponseError('parts too small', 'part_size');
    if (this.receivedBytes > MAX_RESPONSE_BYTES)
      return new InvalidResponseError('response too large', 'response_size');
    if (partialEventBytes > MAX_EVENT_BYTES)
      return new InvalidResponseError('event too large', 'event_size');
    return isBuffered && this.isTooLargeToBuffer
      ? new InvalidResponseError('response too large to buffer', 'response_size')
      : undefined;
  }
}
