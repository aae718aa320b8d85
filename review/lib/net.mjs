/** Small helpers for sockets, time and the record of a run. */
import { createWriteStream } from 'node:fs';
import { createServer } from 'node:net';

export const LOOPBACK = '127.0.0.1';

export const pause = (ms) =>
  new Promise((resolve) => {
    setTimeout(resolve, ms);
  });

export const listenOn = (server, port = 0) =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, LOOPBACK, () => resolve(server.address().port));
  });

export const closeServer = (server) => {
  server.closeAllConnections?.();
  server.close();
};

export const readAll = async (stream) => {
  const chunks = [];
  for await (const chunk of stream) chunks.push(chunk);
  return Buffer.concat(chunks);
};

/** Range below the ports that the system gives to outgoing connections. */
const FIRST_PORT = 12_000;
const PORT_COUNT = 18_000;
const givenPorts = new Set();

const isFree = (port) =>
  new Promise((resolve) => {
    const server = createServer();
    server.once('error', () => resolve(false));
    server.listen(port, LOOPBACK, () => server.close(() => resolve(true)));
  });

/** Finds free ports on the loopback address. */
export const findPorts = async (count) => {
  const ports = [];
  while (ports.length < count) {
    const port = FIRST_PORT + Math.floor(Math.random() * PORT_COUNT);
    if (!givenPorts.has(port) && (await isFree(port))) {
      givenPorts.add(port);
      ports.push(port);
    }
  }
  return ports;
};

/** Waits until a condition holds. */
export const waitUntil = async (holds, limitMs, what) => {
  const endsAt = performance.now() + limitMs;
  while (!(await holds())) {
    if (performance.now() > endsAt) throw new Error(`not within ${limitMs} ms: ${what}`);
    await pause(20);
  }
};

/** Writes what was sent, answered and run, with the time since the start. */
export class RunRecord {
  constructor(path) {
    this.stream = createWriteStream(path);
    this.startedAt = performance.now();
  }

  get nowMs() {
    return Math.round(performance.now() - this.startedAt);
  }

  write(text) {
    this.stream.write(`${String(this.nowMs).padStart(6)} ms  ${text}\n`);
  }

  /** Writes the result, with which the script ends. */
  async finish(exitCode) {
    this.write(`exit code ${exitCode}`);
    await new Promise((resolve) => {
      this.stream.end(resolve);
    });
    process.exitCode = exitCode;
  }
}
