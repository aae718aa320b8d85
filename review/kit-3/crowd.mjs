import { connect } from 'node:net';
import { createAttemptId } from './client.mjs';
import { sleep } from './recorder.mjs';

const PAUSE_MS = 50;

/** Builds the head of a request. */
export const buildHead = ({ method, path, host, headers }) => {
  const lines = Object.entries({
    host,
    'x-goldcrestscale-attempt-id': createAttemptId(),
    ...headers,
  }).map(([name, value]) => `${name}: ${value}\r\n`);
  return `${method} ${path} HTTP/1.1\r\n${lines.join('')}\r\n`;
};

/** Clients that each send one request, stop just short of its end and stay connected. */
export class Crowd {
  sockets = [];

  failed = 0;

  answered = 0;

  constructor(address) {
    const [host, port] = address.split(':');
    this.target = { host, port: Number(port) };
  }

  /** Connects some clients at a time, so that no link is full. */
  async gather(count, { perStep = 10, buildBytes, isOver = () => false }) {
    for (let index = 0; index < count && !isOver(); index += 1) {
      this.open(buildBytes());
      if (index % perStep === perStep - 1) await sleep(PAUSE_MS);
    }
  }

  open(bytes) {
    const socket = connect(this.target);
    this.sockets.push(socket);
    let hasAnswer = false;
    socket.on('connect', () => bytes.forEach((piece) => socket.write(piece)));
    socket.on('data', () => {
      if (!hasAnswer) this.answered += 1;
      hasAnswer = true;
    });
    socket.on('error', () => {
      this.failed += 1;
      socket.destroy();
    });
  }

  leave() {
    this.sockets.forEach((socket) => socket.destroy());
  }
}
