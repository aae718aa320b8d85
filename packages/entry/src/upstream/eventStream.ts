import { createParser } from 'eventsource-parser';
import { MAX_EVENT_BYTES } from '../constants.js';

/** Payload of the last event of a complete stream. */
export const END_MARKER = '[DONE]';

/** How a stream ended. */
export type StreamEnd =
  /** The end marker was received. */
  | 'whole'
  /** The connection was closed before the end marker, or an event was too large. */
  | 'broken';

/** Reads the end of a body after its end marker, so that its connection can be reused. */
const drainBody = async (iterator: AsyncIterator<Uint8Array>): Promise<void> => {
  const result = await iterator.next().catch(() => undefined);
  if (result?.done === false) await iterator.return?.().catch(() => undefined);
};

/**
 * Reads server-sent events and passes the payload of each to a handler.
 *
 * @param onData called with each payload except the end marker, one at a time
 * @throws what `onData` throws
 */
export const readEventStream = async (
  body: AsyncIterable<Uint8Array>,
  onData: (data: string) => Promise<void>,
): Promise<StreamEnd> => {
  const pending: string[] = [];
  const parser = createParser({ onEvent: (event) => pending.push(event.data) });
  const decoder = new TextDecoder();
  const iterator = body[Symbol.asyncIterator]();
  let isComplete = false;
  let bytesSinceEvent = 0;
  try {
    for (;;) {
      const chunk = await iterator.next().catch(() => undefined);
      if (chunk === undefined || chunk.done) return 'broken';
      bytesSinceEvent += chunk.value.length;
      if (bytesSinceEvent > MAX_EVENT_BYTES) return 'broken';
      parser.feed(decoder.decode(chunk.value, { stream: true }));
      if (pending.length > 0) bytesSinceEvent = 0;
      for (const data of pending.splice(0)) {
        if (data === END_MARKER) {
          isComplete = true;
          return 'whole';
        }
        await onData(data);
      }
    }
  } finally {
    if (isComplete) void drainBody(iterator);
    else await iterator.return?.().catch(() => undefined);
  }
};
