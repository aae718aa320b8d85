import { createParser } from 'eventsource-parser';

/** Payload of the event that ends a whole stream. */
export const END_MARKER = '[DONE]';

/** How a stream ended. */
export type StreamEnd =
  /** The end marker came. */
  | 'whole'
  /** The connection ended without it. */
  | 'broken';

/** Reads to the end of a body after its end marker, so that its connection can be used again. */
const finishBody = async (iterator: AsyncIterator<Uint8Array>): Promise<void> => {
  const last = await iterator.next().catch(() => undefined);
  if (last?.done === false) await iterator.return?.().catch(() => undefined);
};

/**
 * Reads server-sent events and hands on the payload of each.
 *
 * @param onData receives each payload except the end marker, one after the other
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
  let isWhole = false;
  try {
    for (;;) {
      const chunk = await iterator.next().catch(() => undefined);
      if (chunk === undefined || chunk.done) return 'broken';
      parser.feed(decoder.decode(chunk.value, { stream: true }));
      for (const data of pending.splice(0)) {
        if (data === END_MARKER) {
          isWhole = true;
          return 'whole';
        }
        await onData(data);
      }
    }
  } finally {
    if (isWhole) void finishBody(iterator);
    else await iterator.return?.().catch(() => undefined);
  }
};
