/** Stand-in of a model server that fetches, prefills, keeps and saves the parts of prompts. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { listen, readBody } from './log.mjs';

const EVENTS = 6;

const EVENT_MS = 10;

const parsePrefix = (text) =>
  text.split(',').map((entry) => {
    const [id, tokens] = entry.split(':');
    return { id, tokens: Number(tokens) };
  });

const parseAddresses = (text, count) => {
  const addresses = (text ?? '').split(',').map((address) => (address === '-' ? '' : address));
  return Array.from({ length: count }, (_value, index) => addresses[index] ?? '');
};

export class Engine {
  /** Parts in memory by salt and id; the least recently used one comes first. */
  #kept = new Map();

  #prefilling = Promise.resolve();

  runs = 0;

  /**
   * @param options id, zone, capacityTokens, prefillTokensPerMs, and the stores by address
   * @param note called with each fetch, and each use of a part that was in memory
   */
  constructor(options, note) {
    Object.assign(this, { options, note });
    this.server = createServer((request, response) => {
      this.#handle(request, response).catch(() => response.destroy());
    });
  }

  async open() {
    this.address = await listen(this.server);
    return this.address;
  }

  close() {
    this.server.closeAllConnections();
    this.server.close();
  }

  keeps(salt, id) {
    return this.#kept.has(`${salt}/${id}`);
  }

  async #handle(request, response) {
    await readBody(request);
    const { headers } = request;
    if (request.url === '/report') {
      const models = [{ name: this.options.model, version: 1, adapters: [] }];
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(JSON.stringify({ stage: 'both', models, busy: false, sequence: 0 }));
      return;
    }
    const attemptId = headers['x-goldcrestscale-attempt-id'];
    const isOther =
      (headers['x-goldcrestscale-expected-instance'] ?? this.options.id) !== this.options.id;
    const isOtherVersion = (headers['x-goldcrestscale-expected-version'] ?? '1') !== '1';
    if (attemptId === undefined || isOther || isOtherVersion) {
      response.writeHead(attemptId === undefined ? 400 : 421, {
        'x-goldcrestscale-not-executed': '1',
        'x-goldcrestscale-instance-id': this.options.id,
        ...(attemptId === undefined ? {} : { 'x-goldcrestscale-attempt-id': attemptId }),
      });
      response.end();
      return;
    }
    await this.#prepare(headers, attemptId);
    this.runs += 1;
    response.writeHead(200, {
      'content-type': 'text/event-stream',
      'x-goldcrestscale-attempt-id': attemptId,
      'x-goldcrestscale-response-signature': '3e1b.07.5a2.600.0.c9f2a4d1',
      'x-goldcrestscale-weight-versions': '1',
    });
    for (let id = 1; id <= EVENTS; id += 1) {
      response.write(`id: ${id}\ndata: ${attemptId} ${id}\n\n`);
      await sleep(EVENT_MS);
    }
    response.end();
  }

  /** Fetches what a store keeps, prefills the rest, and sends the parts that are to be saved. */
  async #prepare(headers, attemptId) {
    const { stores, prefillTokensPerMs, zone, model } = this.options;
    const salt = headers['x-goldcrestscale-cache-salt'] ?? '';
    const tenant = headers['x-goldcrestscale-tenant'];
    const parts = parsePrefix(headers['x-goldcrestscale-prompt-prefix']);
    const sources = parseAddresses(headers['x-goldcrestscale-kv-fetch-source'], parts.length);
    const targets = parseAddresses(headers['x-goldcrestscale-kv-save-target'], parts.length);
    const untilMs = Number(headers['x-goldcrestscale-kv-until'] ?? Infinity);
    const writes = parts.map(({ id, tokens }, index) =>
      stores.get(targets[index])?.reserve(salt, id, tokens, model),
    );
    // A part is of use only if all parts before it are there.
    for (const [index, part] of parts.entries()) {
      if (!this.keeps(salt, part.id)) {
        const source = stores.get(sources[index]);
        if (!source || !(await this.#fetch(source, salt, part, { untilMs, attemptId }))) break;
      }
    }
    for (const [index, part] of parts.entries()) {
      if (!this.keeps(salt, part.id)) {
        this.#prefilling = this.#prefilling.then(() => sleep(part.tokens / prefillTokensPerMs));
        await this.#prefilling;
      }
      this.#use(salt, part, { tenant, attemptId });
      const target = stores.get(targets[index]);
      writes[index]?.(target.zone === zone ? 1 : 2).catch(() => undefined);
    }
  }

  /** @returns whether the part came */
  async #fetch(store, salt, part, { untilMs, attemptId }) {
    const key = `${salt}/${part.id}`;
    const before = store.findState(key);
    if (before === 'missing' || store.isDown) {
      this.note('fetch', { attemptId, part: part.id, engine: this.options.id, before });
      return false;
    }
    const { parts } = store;
    await store.transfer(part.tokens, store.zone === this.options.zone ? 1 : 2);
    const isThrownAway = Date.now() > untilMs || parts !== store.parts;
    const after = store.findState(key);
    const fields = {
      attemptId,
      part: part.id,
      engine: this.options.id,
      before,
      after,
      isThrownAway,
    };
    this.note('fetch', fields);
    if (isThrownAway) return false;
    this.#keep(salt, part);
    return true;
  }

  /** Uses a part from memory, or keeps one that was read. */
  #use(salt, part, { tenant, attemptId }) {
    const known = this.#kept.get(`${salt}/${part.id}`);
    const maker = known ? known.maker : tenant;
    if (known) this.note('use', { attemptId, part: part.id, salt, tenant, maker });
    this.#keep(salt, part, maker);
  }

  #keep(salt, { id, tokens }, maker) {
    const key = `${salt}/${id}`;
    this.#kept.delete(key);
    this.#kept.set(key, { tokens, maker });
    let used = [...this.#kept.values()].reduce((sum, kept) => sum + kept.tokens, 0);
    for (const [oldKey, old] of this.#kept) {
      if (used <= this.options.capacityTokens) return;
      this.#kept.delete(oldKey);
      used -= old.tokens;
    }
  }
}
