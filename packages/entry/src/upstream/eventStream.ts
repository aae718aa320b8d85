import { createParser } from 'eventsource-parser';
import { ByteReservation } from '@goldcrestscale/runtime';
import { BODY_IDLE_TIMEOUT_MS, MAX_EVENT_BYTES } from '../constants.js';
import { ByteCollector } from './byteCollector.js';
import { ResponseBodyError } from './responseBodyError.js';
import type { ResponseMemory } from './responseBodyReader.js';

/** Payload of the last event of a complete stream. */
export const END_MARKER = '[DONE]';

/** How a stream ended. */
export type StreamEnd =
  /** The end marker was received. */
  | 'whole'
  /** The connection was closed before the end marker, or an event was too large. */
  | 'broken';

const LINE_FEED = 0x0a;

const CARRIAGE_RETURN = 0x0d;

const hasLineEnd = (chunk: Uint8Array): boolean =>
  chunk.includes(LINE_FEED) || chunk.includes(CARRIAGE_RETURN);

/** Reads the end of a body after its end marker, so that its connection can be reused. */
const drainBody = async (iterator: AsyncIterator<Uint8Array>): Promise<void> => {
  const result = await iterator.next().catch(() => undefined);
  if (result?.done === false) await iterator.return?.().catch(() => undefined);
};

/**
 * Reads server-sent events and passes the payload of each to a handler.
 *
 * @param onData called with each payload except the end marker, one at a time
 * @throws what `onData` throws, and ResponseBodyError if there is no memory for an event
 */
export const readEventStream = async (
  body: AsyncIterable<Uint8Array>,
  memory: ResponseMemory,
  onData: (data: string) => Promise<void>,
): Promise<StreamEnd> => {
  const pending: string[] = [];
  const parser = createParser({ onEvent: (event) => pending.push(event.data) });
  const decoder = new TextDecoder();
  const iterator = body[Symbol.asyncIterator]();
  const reservation = new ByteReservation(memory.budget);
  const collector = new ByteCollector(MAX_EVENT_BYTES, reservation);
  let isComplete = false;
  let bytesSinceEvent = 0;
  let eventAtMs = performance.now();
  try {
    for (;;) {
      const chunk = await iterator.next().catch(() => undefined);
      if (chunk === undefined || chunk.done) return 'broken';
      // The connection's own timeout begins anew with each byte.
      if (performance.now() - eventAtMs > BODY_IDLE_TIMEOUT_MS) return 'broken';
      bytesSinceEvent += chunk.value.length;
      if (bytesSinceEvent > MAX_EVENT_BYTES) throw new ResponseBodyError('too large');
      const isWhole = collector.isEmpty && hasLineEnd(chunk.value);
      if (!isWhole) collector.add(chunk.value);
      // The parser keeps each part of a line by itself.
      if (hasLineEnd(chunk.value)) {
        const bytes = isWhole ? chunk.value : collector.take();
        parser.feed(decoder.decode(bytes, { stream: true }));
      }
      if (pending.length > 0) {
        bytesSinceEvent = 0;
        reservation.release();
      } else if (isWhole && !reservation.tryGrow(chunk.value.length)) {
        throw new ResponseBodyError('no memory', bytesSinceEvent);
      }
      for (const data of pending.splice(0)) {
        if (data === END_MARKER) {
          isComplete = true;
          return 'whole';
        }
        await onData(data);
        eventAtMs = performance.now();
      }
    }
  } catch (cause) {
    if (!(cause instanceof ResponseBodyError)) throw cause;
    memory.onRefused(cause.reason);
    // Resumed, it would take the same memory once more.
    if (cause.reason === 'no memory') throw cause;
    return 'broken';
  } finally {
    reservation.release();
    if (isComplete) void drainBody(iterator);
    else await iterator.return?.().catch(() => undefined);
  }
};
