import { createServer } from 'node:http';
import { sleep } from './recorder.mjs';

const LOOPBACK = '127.0.0.1';
const HEADER_BYTES = 16;
const LENGTH_BYTES = 4;
const MAX_ITEMS = 500;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

const encodeRecord = ({ key, value }) => {
  const name = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + name.length + value.length, 0);
  head.writeUInt8(name.length, LENGTH_BYTES);
  return Buffer.concat([head, name, value]);
};

const decodeRecords = (body) => {
  const records = [];
  for (let start = 0; start + LENGTH_BYTES <= body.length;) {
    const end = start + LENGTH_BYTES + body.readUInt32BE(start);
    const frame = body.subarray(start + LENGTH_BYTES, end);
    const keyEnd = 1 + frame[0];
    records.push({ key: frame.toString('utf8', 1, keyEnd), value: frame.subarray(keyEnd) });
    start = end;
  }
  return records;
};

const send = (response, status, body, type = 'application/json') => {
  const bytes = Buffer.isBuffer(body) ? body : Buffer.from(JSON.stringify(body));
  response.writeHead(status, { 'content-type': type, 'content-length': bytes.length });
  response.end(bytes);
};

/** The platform's metadata store: partition 0 of each topic, one address for each daemon. */
export class Store {
  topics = new Map();

  waiters = new Set();

  listeners = [];

  era = 1;

  isAway = false;

  /** Offsets of `keyed.servers` up to which each daemon has read. */
  serversReadTo = new Map();

  /** Opens an address for one daemon. */
  async open(name) {
    const sockets = new Set();
    const server = createServer((request, response) => {
      this.answer(name, request, response).catch(() => response.destroy());
    });
    server.on('connection', (socket) => {
      sockets.add(socket);
      socket.once('close', () => sockets.delete(socket));
      if (this.isAway) socket.resetAndDestroy();
    });
    await new Promise((resolve) => {
      server.listen(0, LOOPBACK, resolve);
    });
    this.listeners.push({ server, sockets });
    return `${LOOPBACK}:${server.address().port}`;
  }

  close() {
    this.listeners.forEach(({ server }) => {
      server.closeAllConnections();
      server.close();
    });
  }

  getRecords(topic) {
    const records = this.topics.get(topic) ?? [];
    this.topics.set(topic, records);
    return records;
  }

  getEnd(topic) {
    return this.getRecords(topic).length;
  }

  /** Writes as the operator or a server does. @returns the offset of the record */
  write(topic, key, content) {
    const value = content === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(content));
    return this.append(topic, [{ key, value }]);
  }

  append(topic, added) {
    const records = this.getRecords(topic);
    const offset = records.length;
    const atMs = performance.now();
    records.push(...added.map((record) => ({ ...record, atMs })));
    this.wake();
    return offset;
  }

  /** Goes away for a moment and comes back from a copy of some time before. */
  async restoreCopy({ ageMs, awayMs }) {
    const copiedAtMs = performance.now() - ageMs;
    this.isAway = true;
    this.listeners.forEach(({ sockets }) => sockets.forEach((socket) => socket.resetAndDestroy()));
    this.topics.forEach((records, topic) => {
      this.topics.set(
        topic,
        records.filter(({ atMs }) => atMs <= copiedAtMs),
      );
    });
    this.serversReadTo.clear();
    this.wake();
    await sleep(awayMs);
    this.era += 1;
    this.isAway = false;
  }

  /** Goes away for a moment and comes back with all that it had. */
  async goAway(awayMs) {
    this.isAway = true;
    this.listeners.forEach(({ sockets }) => sockets.forEach((socket) => socket.resetAndDestroy()));
    await sleep(awayMs);
    this.isAway = false;
  }

  wake() {
    const waiting = [...this.waiters];
    this.waiters.clear();
    waiting.forEach((resolve) => resolve());
  }

  async answer(name, request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    const body = await readBody(request);
    response.setHeader('store-era', String(this.era));
    if (url.pathname === '/log-append') this.answerAppend(response, topic, url, body);
    else if (url.pathname === '/log-read') await this.answerRead(name, response, topic, url);
    else if (url.pathname === '/log-newest') this.answerNewest(name, response, topic, url);
    else send(response, 404, {});
  }

  answerAppend(response, topic, { searchParams }, body) {
    const end = this.getEnd(topic);
    const at = searchParams.get('at');
    if (at !== null && Number(at) !== end) {
      send(response, 412, { end });
      return;
    }
    const offset = this.append(topic, decodeRecords(body));
    send(response, 200, { offset, end: this.getEnd(topic) });
  }

  async answerRead(name, response, topic, { searchParams }) {
    const from = Number(searchParams.get('from'));
    const deadlineAtMs = performance.now() + Number(searchParams.get('wait_ms') ?? 0);
    while (this.getEnd(topic) === from && performance.now() < deadlineAtMs) {
      await Promise.race([
        sleep(deadlineAtMs - performance.now()),
        new Promise((resolve) => {
          this.waiters.add(resolve);
        }),
      ]);
    }
    const records = this.getRecords(topic);
    response.setHeader('store-era', String(this.era));
    if (from > records.length) {
      send(response, 410, { first: 0 });
      return;
    }
    const head = Buffer.alloc(HEADER_BYTES);
    head.writeBigUInt64BE(BigInt(records.length), 0);
    const frames = records.slice(from).map(encodeRecord);
    if (topic === 'keyed.servers') this.serversReadTo.set(name, records.length);
    send(response, 200, Buffer.concat([head, ...frames]), 'application/octet-stream');
  }

  answerNewest(name, response, topic, { searchParams }) {
    const records = this.getRecords(topic);
    const newest = new Map(records.map((record, offset) => [record.key, { ...record, offset }]));
    const after = searchParams.get('after');
    const items = [...newest.values()]
      .filter(({ key, value }) => value.length > 0 && (after === null || key > after))
      .sort((left, right) => (left.key < right.key ? -1 : 1))
      .map(({ key, value, offset }) => ({ key, value: value.toString('base64'), offset }));
    if (topic === 'keyed.servers') this.serversReadTo.set(name, records.length);
    const page = items.slice(0, MAX_ITEMS);
    send(response, 200, {
      items: page,
      has_more: items.length > page.length,
      end: records.length,
    });
  }
}
