import { ByteBudget, ByteReservation } from '@goldcrestscale/runtime';
import { ByteCollector } from './byteCollector.js';
import { ResponseBodyError } from './responseBodyError.js';

/** Limits of the response to a control call. */
export interface ControlLimits {
  readonly maxBytes: number;
  /** Time in which the body must be complete, in milliseconds. */
  readonly maxMs?: number;
}

/**
 * Reads the body of a control call, such as a load report.
 *
 * @throws the error of the connection, ResponseBodyError if it exceeds a limit, or SyntaxError if it isn't JSON
 */
export const readControlJson = async (
  body: AsyncIterable<Uint8Array>,
  { maxBytes, maxMs = Infinity }: ControlLimits,
): Promise<unknown> => {
  const collector = new ByteCollector(maxBytes, new ByteReservation(new ByteBudget(maxBytes)));
  const deadlineAtMs = performance.now() + maxMs;
  // Leaving the loop closes the connection.
  for await (const chunk of body) {
    if (performance.now() > deadlineAtMs) throw new ResponseBodyError('too slow');
    collector.add(chunk);
  }
  const text = collector.take().toString();
  return text === '' ? {} : (JSON.parse(text) as unknown);
};
