import { connect } from 'node:net';
import { buildHead } from './crowd.mjs';
import { sleep } from './recorder.mjs';

const STEP_MS = 5;
const STEPS_A_SECOND = 1_000 / STEP_MS;

/** Clients that each upload one body at the same pace, stop just short of its end and stay connected. */
export class Uploads {
  sockets = [];

  sentBytes = 0;

  constructor(address) {
    const [host, port] = address.split(':');
    this.target = { host, port: Number(port) };
  }

  /**
   * @param options head of the requests, bytes of a body that come, bytes a second of all together, and
   * the size of the pieces
   */
  async send(count, { head, bodyBytes, bytesPerSecond, pieceBytes, isOver }) {
    const uploads = Array.from({ length: count }, () => this.open(head, bodyBytes));
    const piece = Buffer.alloc(pieceBytes, 'x');
    const startedAtMs = performance.now();
    for (let turn = 0; !isOver() && uploads.some(({ left }) => left > 0);) {
      const dueBytes = ((performance.now() - startedAtMs) / 1_000) * bytesPerSecond;
      let tries = 0;
      while (this.sentBytes < dueBytes && tries < count) {
        tries = this.write(uploads[turn % count], piece) ? 0 : tries + 1;
        turn += 1;
      }
      // What a link does not take in time is not made up for.
      if (tries === count)
        this.sentBytes = Math.max(this.sentBytes, dueBytes - bytesPerSecond / STEPS_A_SECOND);
      await sleep(STEP_MS);
    }
  }

  open(head, bodyBytes) {
    const socket = connect(this.target);
    this.sockets.push(socket);
    socket.on('error', () => socket.destroy());
    socket.resume();
    socket.write(buildHead(head));
    return { socket, left: bodyBytes };
  }

  /** @returns whether the client took a piece */
  write(upload, piece) {
    const { socket, left } = upload;
    if (left <= 0 || socket.destroyed || socket.writableLength > 0) return false;
    const bytes = piece.subarray(0, Math.min(left, piece.length));
    socket.write(bytes);
    this.sentBytes += bytes.length;
    Object.assign(upload, { left: left - bytes.length });
    return true;
  }

  leave() {
    this.sockets.forEach((socket) => socket.destroy());
  }
}
