import { ByteReservation } from '@goldcrestscale/runtime';
import type { ByteBudget } from '@goldcrestscale/runtime';
import { MAX_RESPONSE_BODY_BYTES } from '../constants.js';
import { ByteCollector } from './byteCollector.js';
import { ResponseBodyError } from './responseBodyError.js';
import type { BodyRefusal } from './responseBodyError.js';

/** Memory for what upstreams send. */
export interface ResponseMemory {
  readonly budget: ByteBudget;
  /** Called when a body is not kept. */
  readonly onRefused: (reason: BodyRefusal) => void;
}

/** Reads the body of a response within the memory of all of them. */
export class ResponseBodyReader {
  private readonly reservation: ByteReservation;

  constructor(private readonly memory: ResponseMemory) {
    this.reservation = new ByteReservation(memory.budget);
  }

  /** @throws the error of the connection, or ResponseBodyError */
  async read(body: AsyncIterable<Uint8Array>): Promise<Buffer> {
    const collector = new ByteCollector(MAX_RESPONSE_BODY_BYTES, this.reservation);
    try {
      // Leaving the loop closes the connection.
      for await (const chunk of body) collector.add(chunk);
    } catch (cause) {
      if (cause instanceof ResponseBodyError) this.memory.onRefused(cause.reason);
      throw cause;
    }
    return collector.take();
  }

  /** Gives back the memory of what was read. */
  release(): void {
    this.reservation.release();
  }
}
