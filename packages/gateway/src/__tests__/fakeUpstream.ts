import { createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** A received request. */
export interface TestRequest {
  readonly head: string;
  readonly id: string;
  readonly socket: Socket;
}

const HEAD_END = '\r\n\r\n';

/** A raw TCP server, which can send invalid responses that HTTP libraries would not send. */
export class FakeUpstream {
  readonly received: TestRequest[] = [];

  connections = 0;

  private readonly server: Server;

  private readonly sockets = new Set<Socket>();

  /**
   * @param onRequest writes the response to the request's socket
   * @param answersAfterBytes bytes of a body after which it is called, for responses before the end of the request
   */
  constructor(
    private readonly onRequest: (request: TestRequest) => void,
    private readonly answersAfterBytes = Infinity,
  ) {
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

  /** Drops all connections, and accepts new ones at the same address at once. */
  dropConnections(): void {
    this.sockets.forEach((socket) => socket.destroy());
  }

  private accept(socket: Socket): void {
    this.connections += 1;
    this.sockets.add(socket);
    let buffered = '';
    socket.on('error', () => undefined);
    socket.on('close', () => this.sockets.delete(socket));
    socket.on('data', (chunk) => {
      buffered += chunk.toString('latin1');
      for (let end = buffered.indexOf(HEAD_END); end >= 0; end = buffered.indexOf(HEAD_END)) {
        const head = buffered.slice(0, end);
        const bodyBytes = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
        const next = end + HEAD_END.length + bodyBytes;
        const neededBytes = end + HEAD_END.length + Math.min(bodyBytes, this.answersAfterBytes);
        if (buffered.length < neededBytes) return;
        buffered = buffered.slice(next);
        const request = { head, id: /x-id: (\S*)/i.exec(head)?.[1] ?? '', socket };
        this.received.push(request);
        this.onRequest(request);
        // The rest of a body that was answered early is skipped.
        if (bodyBytes > this.answersAfterBytes) return;
      }
    });
  }
}

/** Builds a complete response with a content length. */
export const buildResponse = (
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

/** Builds the head of a response that is chunked or ends with its connection. */
export const buildHead = (status: number, headers: Readonly<Record<string, string>>): string =>
  `${[
    `HTTP/1.1 ${status} Status`,
    ...Object.entries(headers).map(([name, value]) => `${name}: ${value}`),
  ].join('\r\n')}\r\n\r\n`;

/** Builds one chunk of a chunked response. */
export const buildChunk = (text: string): string =>
  `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
