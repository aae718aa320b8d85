import type { Socket } from 'node:net';
import { buildConnector } from 'undici';
import { CONNECT_TIMEOUT_MS } from '../constants.js';
import { CONNECTION_RESET_CODE, createCodedError } from './upstreamErrors.js';

/**
 * Makes every reset of a connection an error that undici does not take for the end of a body without
 * a length: it accepts `ECONNRESET` as such, and Node emits a clean end if data and a reset arrive
 * together. A close during the upload counts as one, because it discards the rest of the request.
 */
const reportReset = (socket: Socket): void => {
  socket.on('error', (error: NodeJS.ErrnoException) => {
    if (error.code === 'ECONNRESET') Object.assign(error, { code: CONNECTION_RESET_CODE });
  });
  const push = socket.push.bind(socket);
  Object.assign(socket, {
    push: (chunk: unknown, encoding?: BufferEncoding): boolean => {
      if (chunk !== null) return push(chunk, encoding);
      // A connection that ended in order had taken all of the request, and still has a peer address. Only
      // the first read of the address asks the kernel.
      if (socket.writableLength === 0 && socket.remoteAddress !== undefined) return push(chunk);
      socket.destroy(createCodedError('connection reset', CONNECTION_RESET_CODE));
      return false;
    },
  });
};

/** Creates a connector to upstreams that reports every reset as an error. */
export const createUpstreamConnector = (): buildConnector.connector => {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  return (options, callback) =>
    connect(options, (error, socket) => {
      if (error) {
        callback(error, null);
        return;
      }
      reportReset(socket);
      callback(null, socket);
    });
};
