/** A TCP proxy on the loopback address that can hold all bytes, as a silent partition does. */
import { connect, createServer } from 'node:net';
import { LOOPBACK, listenOn } from './net.mjs';

export class CuttableProxy {
  constructor(targetPort) {
    this.isCut = false;
    this.sockets = new Set();
    this.server = createServer((near) => {
      const far = connect(targetPort, LOOPBACK);
      this.link(near, far);
      this.link(far, near);
    });
  }

  link(from, to) {
    this.sockets.add(from);
    from.on('data', (bytes) => to.write(bytes));
    from.on('error', () => undefined);
    from.on('close', () => {
      this.sockets.delete(from);
      to.destroy();
    });
    if (this.isCut) from.pause();
  }

  async start() {
    this.address = `${LOOPBACK}:${await listenOn(this.server)}`;
  }

  cut() {
    this.isCut = true;
    this.sockets.forEach((socket) => socket.pause());
  }

  heal() {
    this.isCut = false;
    this.sockets.forEach((socket) => socket.resume());
  }

  stop() {
    this.server.close();
    this.sockets.forEach((socket) => socket.destroy());
  }
}
