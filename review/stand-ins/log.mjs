/** Stand-in of the platform's log: partition 0 of each topic, in memory. */
import { createServer } from 'node:http';

const LENGTH_BYTES = 4;

const encodeRecord = ({ key, value }) => {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + value.length);
  head.writeUInt8(keyBytes.length, LENGTH_BYTES);
  return Buffer.concat([head, keyBytes, value]);
};

const decodeRecords = (body) => {
  const records = [];
  for (let start = 0; start < body.length;) {
    const end = start + LENGTH_BYTES + body.readUInt32BE(start);
    const content = body.subarray(start + LENGTH_BYTES, end);
    const valueStart = 1 + content[0];
    records.push({
      key: content.toString('utf8', 1, valueStart),
      value: Buffer.from(content.subarray(valueStart)),
    });
    start = end;
  }
  return records;
};

const encodeOffset = (offset) => {
  const bytes = Buffer.alloc(8);
  bytes.writeBigUInt64BE(BigInt(offset));
  return bytes;
};

export const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const sendJson = (response, status, content) => {
  response.writeHead(status, { 'content-type': 'application/json' });
  response.end(JSON.stringify(content));
};

export const listen = (server, port = 0) =>
  new Promise((resolve) => {
    server.listen(port, '127.0.0.1', () => resolve(`127.0.0.1:${server.address().port}`));
  });

export class Log {
  topics = new Map();

  waiters = new Set();

  servers = [];

  /** Opens an address of the log, whose readers get the values that `view` makes of the records. */
  async open(view = (_topic, value) => value) {
    const server = createServer((request, response) => {
      this.#handle(request, response, view).catch(() => response.destroy());
    });
    this.servers.push(server);
    return listen(server);
  }

  close() {
    this.servers.forEach((server) => {
      server.closeAllConnections();
      server.close();
    });
  }

  append(topic, key, value) {
    this.#push(topic, [
      { key, value: value ? Buffer.from(JSON.stringify(value)) : Buffer.alloc(0) },
    ]);
  }

  #records(topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, []);
    return this.topics.get(topic);
  }

  #push(topic, records) {
    this.#records(topic).push(...records);
    const waiting = [...this.waiters];
    this.waiters.clear();
    waiting.forEach((wake) => wake());
  }

  async #handle(request, response, view) {
    const { pathname, searchParams } = new URL(request.url, 'http://log');
    const body = await readBody(request);
    const topic = searchParams.get('topic');
    const records = this.#records(topic);
    if (pathname === '/log-append') {
      const at = searchParams.get('at');
      const offset = records.length;
      if (at !== null && Number(at) !== offset) {
        sendJson(response, 412, { end: offset });
        return;
      }
      this.#push(topic, decodeRecords(body));
      sendJson(response, 200, { offset, end: records.length });
    } else if (pathname === '/log-read') {
      await this.#read(response, topic, searchParams, view);
    } else if (pathname === '/log-newest') {
      const newest = new Map(records.map((record, offset) => [record.key, { ...record, offset }]));
      const items = [...newest.values()]
        .filter(({ value }) => value.length > 0)
        .map(({ key, value, offset }) => ({
          key,
          value: view(topic, value).toString('base64'),
          offset,
        }));
      sendJson(response, 200, { items, has_more: false, end: records.length });
    } else sendJson(response, 404, {});
  }

  async #read(response, topic, searchParams, view) {
    const from = Number(searchParams.get('from'));
    const untilMs = performance.now() + Number(searchParams.get('wait_ms') ?? 0);
    const records = this.#records(topic);
    while (records.length <= from && performance.now() < untilMs) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, untilMs - performance.now());
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    if (from > records.length) {
      sendJson(response, 410, { first: 0 });
      return;
    }
    const read = records
      .slice(from, from + 1_000)
      .map(({ key, value }) => ({ key, value: value.length > 0 ? view(topic, value) : value }));
    response.writeHead(200);
    response.end(
      Buffer.concat([encodeOffset(records.length), encodeOffset(0), ...read.map(encodeRecord)]),
    );
  }
}
