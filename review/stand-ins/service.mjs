/** Stand-in of a server whose answers have no length and end with their channels. */
import { createServer } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { listen, readBody } from './log.mjs';

const HEAD = [
  'HTTP/1.1 200 OK',
  'X-Goldcrestscale-Response-Signature: 3e1b.07.5a2.600.0.c9f2a4d1',
  'X-Goldcrestscale-Weight-Versions: 1',
  'Connection: close',
];

const buildPiece = (attemptId, index, count) =>
  `${attemptId} piece ${index + 1} of ${count} ${'.'.repeat(400)}\n`;

const buildEvent = (attemptId, index, count) =>
  `id: ${index + 1}\ndata: ${attemptId} event ${index + 1} of ${count}\n\n`;

export class UnframedService {
  /** Number of runs and whole body, by the id of the request. */
  runs = new Map();

  #prefilling = Promise.resolve();

  /**
   * @param id of the server
   * @param options pieces of an answer, getPauseMs after each of them, and prefillTokensPerMs of a
   * model server, which reads one prompt after the other and answers with streams
   */
  constructor(id, options) {
    Object.assign(this, { id, options });
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

  async #handle(request, response) {
    const { headers, socket } = request;
    await readBody(request);
    const attemptId = headers['x-goldcrestscale-attempt-id'];
    const isOther = (headers['x-goldcrestscale-expected-instance'] ?? this.id) !== this.id;
    if (attemptId === undefined || isOther) {
      response.writeHead(attemptId === undefined ? 400 : 421, {
        'x-goldcrestscale-not-executed': '1',
        'x-goldcrestscale-instance-id': this.id,
        ...(attemptId === undefined ? {} : { 'x-goldcrestscale-attempt-id': attemptId }),
      });
      response.end();
      return;
    }
    const { pieces: count, prefillTokensPerMs } = this.options;
    const isStream = prefillTokensPerMs !== undefined;
    if (isStream) {
      const tokens = Number(headers['x-goldcrestscale-token-usage'].split(',')[0]);
      this.#prefilling = this.#prefilling.then(() => sleep(tokens / prefillTokensPerMs));
      await this.#prefilling;
    }
    const build = isStream ? buildEvent : buildPiece;
    const pieces = Array.from({ length: count }, (_value, index) => build(attemptId, index, count));
    const { count: runs = 0 } = this.runs.get(attemptId) ?? {};
    this.runs.set(attemptId, { count: runs + 1, body: pieces.join('') });
    await this.#send(socket, attemptId, pieces, isStream);
  }

  async #send(socket, attemptId, pieces, isStream) {
    socket.on('error', () => undefined);
    const type = isStream ? ['Content-Type: text/event-stream'] : [];
    const head = [...HEAD, ...type, `X-Goldcrestscale-Attempt-Id: ${attemptId}`];
    socket.write(`${head.join('\r\n')}\r\n\r\n`);
    for (const [index, piece] of pieces.entries()) {
      if (socket.destroyed) return;
      socket.write(piece);
      await sleep(this.options.getPauseMs(index));
    }
    socket.end();
  }
}
