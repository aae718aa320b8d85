const EVENT_END = /\r?\n\r?\n/;
const MAX_EVENT_CHARS = 1024 * 1024;

const parseEvent = (event: string): string =>
  event
    .split(/\r?\n/)
    .filter((line) => line.startsWith('data:'))
    .map((line) => line.slice('data:'.length).trimStart())
    .join('\n');

/** Reads the data of each server-sent event of a body. @throws the transport's error */
export async function* readEvents(body: AsyncIterable<Uint8Array>): AsyncIterable<string> {
  const decoder = new TextDecoder();
  let rest = '';
  for await (const chunk of body) {
    rest += decoder.decode(chunk, { stream: true });
    const events = rest.split(EVENT_END);
    rest = events.pop() ?? '';
    if (rest.length > MAX_EVENT_CHARS) throw new Error('event too long');
    for (const event of events) {
      const data = parseEvent(event);
      if (data !== '') yield data;
    }
  }
}
