import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** One request as it came in. */
export interface SeenRequest {
  readonly head: string;
  readonly id: string;
  readonly socket: Socket;
}

const HEAD_END = '\r\n\r\n';

/** A server that speaks raw bytes, so that a test can send what no library would. */
export class FakeUpstream {
  readonly seen: SeenRequest[] = [];

  connections = 0;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  /** @param onRequest writes the answer to the request's socket */
  constructor(private readonly onRequest: (request: SeenRequest) => void) {
    this.server = createServer((socket) => this.accept(socket));
  }

  async listen(): Promise<string> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  close(): void {
    this.sockets.forEach((socket) => socket.destroy());
    this.server.close();
  }

  private accept(socket: Socket): void {
    this.connections += 1;
    this.sockets.add(socket);
    let rest = '';
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      rest += chunk.toString('latin1');
      for (let end = rest.indexOf(HEAD_END); end >= 0; end = rest.indexOf(HEAD_END)) {
        const head = rest.slice(0, end);
        const bodyBytes = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        const next = end + HEAD_END.length + bodyBytes;
        if (rest.length < next) return;
        rest = rest.slice(next);
        const request = { head, id: /x-id: (\S*)/i.exec(head)?.[1] ?? '', socket };
        this.seen.push(request);
        this.onRequest(request);
      }
    });
  }
}

/** Builds a whole answer with a length. */
export const buildAnswer = (
  status: number,
  headers: Readonly<Record<string, string>>,
  body: string,
): string =>
  [
    `HTTP/1.1 ${status} Status`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
    `content-length: ${Buffer.byteLength(body)}`,
    '',
    body,
  ].join('\r\n');

/** Builds the head of an answer whose end is the end of the connection, or of chunks. */
export const buildHead = (status: number, headers: Readonly<Record<string, string>>): string =>
  `${[
    `HTTP/1.1 ${status} Status`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ].join('\r\n')}\r\n\r\n`;

/** Builds one chunk of a chunked answer. */
export const buildChunk = (text: string): string =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
