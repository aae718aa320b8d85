/** Stand-in of a managed store of KV cache; a part is in space that is reserved before it is written. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { listen, readBody } from './log.mjs';

const BITS = 8;

/** An event arrives this long after the part is complete, in milliseconds. */
const EVENT_DELAY_MS = 60;

export class Store {
  #epoch = 0;

  #server;

  #sockets = new Set();

  /** @param options link_mbps, first_ms and kv_capacity_tokens as configured, and bytes per token */
  constructor(options) {
    this.options = options;
    this.#reset();
  }

  async open() {
    this.address = await this.#listen(0);
    return this.address;
  }

  /** Ends the process of the store: its connections are reset and its parts are lost. */
  crash() {
    this.isDown = true;
    this.#server.close();
    this.#sockets.forEach((socket) => socket.resetAndDestroy());
    this.#reset();
  }

  async restart() {
    await this.#listen(Number(this.address.split(':')[1]));
    this.isDown = false;
  }

  close() {
    this.#server.close();
    this.#sockets.forEach((socket) => socket.destroy());
  }

  /** What it keeps of a part: `missing`, `partial` or `whole`. */
  findState(key) {
    const part = this.parts.get(key);
    if (!part) return 'missing';
    return part.isWhole ? 'whole' : 'partial';
  }

  /** Reserves the space of a part that will be sent. @returns what writes it; undefined if it is lost */
  reserve(salt, id, tokens, model) {
    const key = `${salt}/${id}`;
    if (this.isDown || this.parts.has(key)) return undefined;
    const used = [...this.parts.values()].reduce((sum, part) => sum + part.tokens, 0);
    if (used + tokens > this.options.capacityTokens) return undefined;
    const part = { tokens, isWhole: false };
    const { parts } = this;
    parts.set(key, part);
    return async (zoneFactor) => {
      await this.transfer(tokens, zoneFactor);
      // Another incarnation knows nothing of it.
      if (parts !== this.parts) return;
      part.isWhole = true;
      await sleep(EVENT_DELAY_MS);
      if (parts === this.parts) this.#tell('+', salt, id, tokens, model);
    };
  }

  /** Waits for the transfer of some tokens, behind those before it. */
  async transfer(tokens, zoneFactor) {
    const { linkMbps, firstMs, bytesPerToken } = this.options;
    const ms = (tokens * bytesPerToken * BITS * zoneFactor) / (linkMbps * 1_000);
    const nowMs = performance.now();
    this.linkFreeAtMs = Math.max(nowMs, this.linkFreeAtMs) + ms;
    await sleep(this.linkFreeAtMs - nowMs + firstMs);
  }

  #reset() {
    this.#epoch += 1 + Math.floor(Math.random() * 10_000);
    this.parts = new Map();
    this.events = [];
    this.waiters = new Set();
    this.linkFreeAtMs = 0;
  }

  #listen(port) {
    this.#server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
    this.#server.on('connection', (socket) => {
      this.#sockets.add(socket);
      socket.on('close', () => this.#sockets.delete(socket));
    });
    return listen(this.#server, port);
  }

  #tell(sign, ...rest) {
    this.events.push([this.events.length + 1, sign, ...rest]);
    const waiting = [...this.waiters];
    this.waiters.clear();
    waiting.forEach((wake) => wake());
  }

  async #handle(request, response) {
    const { pathname, searchParams } = new URL(request.url, 'http://store');
    const body = await readBody(request);
    const send = (content) => {
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify(content));
    };
    if (pathname === '/kv-free') {
      const { parts } = JSON.parse(body);
      parts.forEach(([salt, id]) => {
        if (this.parts.delete(`${salt}/${id}`)) this.#tell('-', salt, id, 0, '');
      });
      send({});
    } else if (pathname === '/kv-events') {
      const since = Number(searchParams.get('since'));
      const waitMs = Math.min(1_000, Number(request.headers['wait-ms'] ?? 0));
      const { events, waiters } = this;
      // A number that it never gave is of another incarnation, whose caller need not wait.
      if (events.length === since && waitMs > 0) {
        await Promise.race([
          sleep(waitMs),
          new Promise((wake) => {
            waiters.add(wake);
          }),
        ]);
      }
      send({
        epoch: this.#epoch,
        next: events.length,
        lost: false,
        clock_ms: Date.now(),
        events: events.slice(since),
      });
    } else {
      response.writeHead(404);
      response.end();
    }
  }
}
