/** Stand-in of the platform's store: a log with keyed topics, as PROTOCOL.md describes it. */
import { createServer } from 'node:http';
import { LOOPBACK, closeServer, listenOn, readAll } from './net.mjs';

const LENGTH_BYTES = 4;
const OFFSET_BYTES = 8;

const encodeOffset = (offset) => {
  const bytes = Buffer.alloc(OFFSET_BYTES);
  bytes.writeBigUInt64BE(BigInt(offset));
  return bytes;
};

const encodeRecord = ({ key, value }) => {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + value.length, 0);
  head.writeUInt8(keyBytes.length, LENGTH_BYTES);
  return Buffer.concat([head, keyBytes, value]);
};

const decodeRecords = (body) => {
  const records = [];
  let position = 0;
  while (position + LENGTH_BYTES <= body.length) {
    const end = position + LENGTH_BYTES + body.readUInt32BE(position);
    const keyLength = body[position + LENGTH_BYTES];
    const keyStart = position + LENGTH_BYTES + 1;
    records.push({
      key: body.toString('utf8', keyStart, keyStart + keyLength),
      value: Buffer.from(body.subarray(keyStart + keyLength, end)),
    });
    position = end;
  }
  return records;
};

export class PlatformStore {
  constructor() {
    this.topics = new Map();
    /** Rises by one each time the store comes back from a copy. */
    this.era = 1;
    /** While the store is away, all calls get 503. */
    this.isAway = false;
    this.waiters = new Set();
    /** Topics whose only partition is down; calls to them get 503. */
    this.downTopics = new Set();
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
  }

  async start() {
    this.port = await listenOn(this.server);
    this.address = `${LOOPBACK}:${this.port}`;
  }

  stop() {
    closeServer(this.server);
  }

  records(topic) {
    if (!this.topics.has(topic)) this.topics.set(topic, []);
    return this.topics.get(topic);
  }

  /** Appends a record on behalf of the operator or of a server; without a value the key is dropped. */
  append(topic, key, value) {
    const bytes = value === undefined ? Buffer.alloc(0) : Buffer.from(JSON.stringify(value));
    this.records(topic).push({ key, value: bytes, appendedAt: performance.now() });
    this.wake();
  }

  /** Comes back from a copy: newer records are gone, and their offsets are given out again. */
  restoreCopy(ageMs) {
    const copiedAt = performance.now() - ageMs;
    this.topics.forEach((records, topic) =>
      this.topics.set(
        topic,
        records.filter(({ appendedAt }) => appendedAt <= copiedAt),
      ),
    );
    this.era += 1;
    this.isAway = false;
    this.wake();
  }

  wake() {
    const waiting = [...this.waiters];
    this.waiters.clear();
    waiting.forEach((resume) => resume());
  }

  async answer(request, response) {
    const url = new URL(request.url, 'http://store');
    const topic = url.searchParams.get('topic') ?? '';
    const body = await readAll(request);
    response.setHeader('store-era', String(this.era));
    const send = (status, content) => {
      response.writeHead(status, { 'content-length': Buffer.byteLength(content) });
      response.end(content);
    };
    if (this.isAway || this.downTopics.has(topic)) {
      send(503, '');
      return;
    }
    if (url.pathname === '/log-append') this.answerAppend(url, topic, body, send);
    else if (url.pathname === '/log-read') await this.answerRead(url, topic, send);
    else if (url.pathname === '/log-newest') this.answerNewest(topic, send);
    else send(404, '');
  }

  answerAppend(url, topic, body, send) {
    const records = this.records(topic);
    const expectedEnd = url.searchParams.get('at');
    const offset = records.length;
    if (expectedEnd !== null && Number(expectedEnd) !== offset) {
      send(412, JSON.stringify({ end: offset }));
      return;
    }
    const appendedAt = performance.now();
    records.push(...decodeRecords(body).map((record) => ({ ...record, appendedAt })));
    this.wake();
    send(200, JSON.stringify({ offset, end: records.length }));
  }

  async answerRead(url, topic, send) {
    const from = Number(url.searchParams.get('from'));
    const endsAt = performance.now() + Number(url.searchParams.get('wait_ms') ?? 0);
    while (this.records(topic).length <= from && performance.now() < endsAt) {
      await new Promise((resolve) => {
        const timer = setTimeout(resolve, Math.max(1, endsAt - performance.now()));
        this.waiters.add(() => {
          clearTimeout(timer);
          resolve();
        });
      });
    }
    const records = this.records(topic);
    if (this.isAway) {
      send(503, '');
      return;
    }
    if (from > records.length) {
      send(410, JSON.stringify({ first: 0 }));
      return;
    }
    const frames = records.slice(from, from + 1_000).map(encodeRecord);
    send(200, Buffer.concat([encodeOffset(records.length), encodeOffset(0), ...frames]));
  }

  answerNewest(topic, send) {
    const newest = new Map();
    this.records(topic).forEach(({ key, value }, offset) => newest.set(key, { value, offset }));
    const items = [...newest]
      .filter(([, { value }]) => value.length > 0)
      .map(([key, { value, offset }]) => ({ key, value: value.toString('base64'), offset }));
    send(200, JSON.stringify({ items, has_more: false, end: this.records(topic).length }));
  }
}
