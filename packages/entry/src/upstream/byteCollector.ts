import type { ByteReservation } from '@goldcrestscale/runtime';
import { ResponseBodyError } from './responseBodyError.js';

const EMPTY = Buffer.alloc(0);

/** Collects bytes in one buffer that grows by doubling, so that small pieces cost their bytes. */
export class ByteCollector {
  private buffer: Buffer = EMPTY;

  private bytes = 0;

  constructor(
    private readonly maxBytes: number,
    private readonly reservation: ByteReservation,
  ) {}

  get isEmpty(): boolean {
    return this.bytes === 0;
  }

  /** @throws ResponseBodyError */
  add(chunk: Uint8Array): void {
    const collectedBytes = this.bytes + chunk.length;
    if (collectedBytes > this.maxBytes) throw new ResponseBodyError('too large');
    if (collectedBytes > this.buffer.length) this.reserve(collectedBytes);
    this.buffer.set(chunk, this.bytes);
    this.bytes = collectedBytes;
  }

  /** Gives what has been collected, and forgets it. */
  take(): Buffer {
    const taken = this.buffer.subarray(0, this.bytes);
    this.buffer = EMPTY;
    this.bytes = 0;
    return taken;
  }

  private reserve(neededBytes: number): void {
    const size = Math.min(this.maxBytes, Math.max(neededBytes, 2 * this.buffer.length));
    if (!this.reservation.tryGrow(size - this.buffer.length)) {
      throw new ResponseBodyError('no memory', size);
    }
    const grown = Buffer.allocUnsafeSlow(size);
    this.buffer.copy(grown, 0, 0, this.bytes);
    this.buffer = grown;
  }
}
