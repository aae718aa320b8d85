/** Stand-ins of a plain service's servers and of the operator. */
import { createServer } from 'node:http';
import { LOOPBACK, closeServer, listenOn, pause, readAll } from './net.mjs';

const HEARTBEAT_MS = 1_200;

export const HEADER = {
  attempt: 'x-goldcrestscale-attempt-id',
  deadline: 'x-goldcrestscale-deadline-milliseconds',
  expected: 'x-goldcrestscale-expected-instance',
  instance: 'x-goldcrestscale-instance-id',
  notExecuted: 'x-goldcrestscale-not-executed',
  signature: 'x-goldcrestscale-response-signature',
};

/** A server of a plain service. It runs each request for `workMs` and proves its answers. */
export class PlainServer {
  constructor({ id, service, zone, store, workMs = 30, slots = 8, coldMs = 0, record }) {
    Object.assign(this, { id, service, zone, store, workMs, slots, coldMs, record });
    /** Requests that it ran: attempt id and time of arrival. */
    this.runs = [];
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
    this.server.keepAliveTimeout = 30_000;
  }

  async start() {
    this.port = await listenOn(this.server);
    this.address = `${LOOPBACK}:${this.port}`;
    this.born = Date.now();
    this.warmAt = performance.now() + this.coldMs;
    this.sequence = 0;
    this.state = 'ready';
    this.register();
    this.timer = setInterval(() => this.register(), HEARTBEAT_MS);
  }

  get coldRemainingMs() {
    return Math.max(0, Math.round(this.warmAt - performance.now()));
  }

  register() {
    this.sequence += 1;
    this.store.append('keyed.servers', this.id, {
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: 'v1',
      slots: this.slots,
      state: this.state,
      cold_remaining_ms: this.coldRemainingMs,
      sequence: this.sequence,
      born: this.born,
    });
  }

  /** Reports that it is about to leave. */
  drain() {
    this.state = 'draining';
    this.register();
  }

  /** Ends without a word; the store removes its entry after three heartbeats of silence. */
  crash() {
    clearInterval(this.timer);
    closeServer(this.server);
    setTimeout(
      () => this.store.append('keyed.servers', this.id, undefined),
      3 * HEARTBEAT_MS,
    ).unref();
  }

  stop() {
    clearInterval(this.timer);
    closeServer(this.server);
    this.store.append('keyed.servers', this.id, undefined);
  }

  async answer(request, response) {
    const attempt = request.headers[HEADER.attempt];
    const arrivedAt = performance.now();
    const body = await readAll(request);
    const headers = { [HEADER.attempt]: attempt, [HEADER.instance]: this.id };
    const expected = request.headers[HEADER.expected];
    if (expected !== undefined && expected !== this.id) {
      response.writeHead(421, { ...headers, [HEADER.notExecuted]: '1', 'content-length': 0 });
      response.end();
      return;
    }
    this.runs.push({ attempt, arrivedAt, path: request.url });
    await this.work(request, response, { attempt, headers, body });
  }

  /** Runs a request; cases may replace it. */
  async work(_request, response, { attempt, headers }) {
    await pause(this.workMs);
    const content = `answer to ${attempt}`;
    response.writeHead(200, {
      ...headers,
      [HEADER.signature]: `proof-${this.id}-${attempt}`,
      'content-length': content.length,
    });
    response.end(content);
  }
}

/** Writes a configuration with the given routes and services; no keys are needed. */
export const writeConfiguration = (store, { version = 1, host, routes, services }) =>
  store.append('keyed.op', 'config', {
    version,
    routes: routes.map((route) => ({
      host,
      timeout_ms: 8_000,
      target_latency_ms: 400,
      priority: 1,
      attempts: 1,
      anonymous: true,
      ...route,
    })),
    services: services.map((service) => ({ connection_limit: 400, ...service })),
    limits: {
      header_bytes: 32_768,
      body_bytes: 4_194_304,
      header_timeout_ms: 3_000,
      idle_timeout_ms: 15_000,
    },
    tenants: [],
  });
