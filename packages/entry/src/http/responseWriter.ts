import type { ServerResponse } from 'node:http';
import type { ResponseWriter } from '../filters/exchange.js';

const waitForDrain = (response: ServerResponse): Promise<void> =>
  new Promise((resolve) => {
    const finish = (): void => {
      response.off('drain', finish);
      response.off('close', finish);
      resolve();
    };
    response.once('drain', finish);
    response.once('close', finish);
  });

/** Creates the writer for a Node.js HTTP response. */
export const createResponseWriter = (response: ServerResponse): ResponseWriter => ({
  get isHeadSent() {
    return response.headersSent;
  },
  writeHead(status, headers) {
    response.writeHead(status, headers);
  },
  async write(chunk) {
    if (response.destroyed) return;
    if (!response.write(chunk)) await waitForDrain(response);
  },
  finish() {
    response.end();
  },
});
