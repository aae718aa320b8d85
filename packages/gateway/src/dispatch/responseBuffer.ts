import { BodyBuffer } from '@goldcrestscale/runtime';
import type { ByteReservation } from '@goldcrestscale/runtime';
import { MAX_BUFFERED_RESPONSE_BYTES } from '../constants.js';

/** Buffers the body of a response within its size limit and the memory for all callers. */
export class ResponseBuffer {
  private readonly body: BodyBuffer;

  private receivedBytes = 0;

  private reservedBytes = 0;

  /** @param declaredBytes length of the body; undefined if it is not known */
  constructor(
    private readonly reservation: ByteReservation,
    declaredBytes?: number,
  ) {
    const isKnown = declaredBytes !== undefined && declaredBytes <= MAX_BUFFERED_RESPONSE_BYTES;
    this.body = new BodyBuffer(isKnown ? declaredBytes : undefined);
  }

  /** @returns whether the chunk was buffered; otherwise the body is too large, or there is no memory */
  tryAdd(chunk: Buffer): boolean {
    if (this.receivedBytes + chunk.length > MAX_BUFFERED_RESPONSE_BYTES) return false;
    const growthBytes = this.body.computeGrowth(chunk.length);
    if (!this.reservation.tryGrow(growthBytes, 'response')) return false;
    this.reservedBytes += growthBytes;
    this.receivedBytes += chunk.length;
    this.body.add(chunk);
    return true;
  }

  /** Computes the memory for what has been buffered and one more chunk. */
  computeNeed(chunk: Buffer): number {
    return this.reservedBytes + this.body.computeGrowth(chunk.length);
  }

  /** Gives back the memory of what has been buffered, and forgets it. */
  discard(): void {
    this.reservation.releasePart(this.reservedBytes, 'response');
    this.take();
  }

  /** Gives what has been buffered, and forgets it; its memory stays reserved until the exchange ends. */
  take(): Buffer[] {
    this.reservedBytes = 0;
    return this.body.take();
  }

  build(): Buffer {
    return this.body.build();
  }
}
