import { createServer } from 'node:http';
import { sleep } from './recorder.mjs';

const LOOPBACK = '127.0.0.1';
const HEARTBEAT_MS = 1_200;

const readBody = async (request) => {
  const chunks = [];
  for await (const chunk of request) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** A server of a plain service, as the pages tell. */
export class Server {
  /** Requests that it began to work on. */
  runs = [];

  isLeaving = false;

  sequence = 0;

  running = 0;

  waiting = 0;

  sockets = new Set();

  constructor({
    id,
    service,
    zone,
    slots = 6,
    queue = 24,
    workMs = 40,
    models = [],
    onRun = () => undefined,
  }) {
    Object.assign(this, { id, service, zone, slots, queue, workMs, models, onRun });
    this.born = Date.now();
  }

  async start(port = 0) {
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 20_000;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
    await new Promise((resolve) => {
      this.server.listen(port, LOOPBACK, resolve);
    });
    this.address = `${LOOPBACK}:${this.server.address().port}`;
  }

  buildEntry() {
    this.sequence += 1;
    return {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: 'ready',
      cold_remaining_ms: 0,
      stage: 'both',
      models: this.models,
      sequence: this.sequence,
      born: this.born,
    };
  }

  /** Registers with the store, and writes there at each ping interval. */
  register(store) {
    const beat = () => {
      if (!store.isAway) store.write('keyed.servers', this.id, this.buildEntry());
    };
    beat();
    this.timer = setInterval(beat, HEARTBEAT_MS);
  }

  stopBeats() {
    clearInterval(this.timer);
  }

  /** Ends the process: its connections are closed, whatever they carry. */
  end() {
    this.stopBeats();
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }

  buildHeaders(request) {
    const id = request.headers['x-goldcrestscale-attempt-id'];
    return {
      ...(id === undefined ? {} : { 'x-goldcrestscale-attempt-id': id }),
      'x-goldcrestscale-instance-id': this.id,
      'x-goldcrestscale-server-load': `${this.running},${this.waiting},${this.slots}`,
      ...(this.isLeaving ? { 'server-leaving': '1', connection: 'close' } : {}),
    };
  }

  refuse(request, response, status) {
    const headers = { ...this.buildHeaders(request), 'x-goldcrestscale-not-executed': '1' };
    response.writeHead(status, { ...headers, 'content-length': 0 });
    response.end();
  }

  async answer(request, response) {
    const { headers } = request;
    const body = await readBody(request);
    const expected = headers['x-goldcrestscale-expected-instance'];
    if (expected !== undefined && expected !== this.id) this.refuse(request, response, 421);
    else if (headers['x-goldcrestscale-attempt-id'] === undefined) {
      this.refuse(request, response, 400);
    } else if (this.running + this.waiting >= this.slots + this.queue) {
      this.refuse(request, response, 503);
    } else await this.run(request, response, body);
  }

  async run(request, response, body) {
    this.waiting += 1;
    while (this.running >= this.slots) await sleep(2);
    this.waiting -= 1;
    if (request.socket.destroyed) return;
    this.running += 1;
    const run = {
      id: request.headers['x-goldcrestscale-attempt-id'],
      method: request.method,
      path: request.url,
      headers: request.headers,
      body,
      server: this.id,
      atMs: performance.now(),
      isAnswered: false,
    };
    this.runs.push(run);
    this.onRun(run);
    await sleep(this.workMs);
    this.running -= 1;
    if (request.socket.destroyed) return;
    const content = Buffer.from(`${run.id} by ${this.id}`);
    response.writeHead(200, {
      ...this.buildHeaders(request),
      'x-goldcrestscale-response-signature': `${this.id}.${run.id}`,
      'content-length': content.length,
    });
    response.end(content);
    run.isAnswered = true;
  }
}
