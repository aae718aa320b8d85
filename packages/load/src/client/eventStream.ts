const EVENT_SEPARATOR = /\r?\n\r?\n/;
const MAX_EVENT_CHARS = 1024 * 1024;

const parseEventData = (event: string): string =>
  event
    .split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice('data:'.length).trimStart())
    .join('\n');

/** Yields the data of each server-sent event in a body. @throws errors of the transport */
export async function* readEvents(body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let buffer = '';
  for await (const chunk of body) {
    buffer += decoder.decode(chunk, { stream: true });
    const events = buffer.split(EVENT_SEPARATOR);
    buffer = events.pop() ?? '';
    if (buffer.length > MAX_EVENT_CHARS) throw new Error('server-sent event too long');
    for (const event of events) {
      const data = parseEventData(event);
      if (data !== '') yield data;
    }
  }
}
