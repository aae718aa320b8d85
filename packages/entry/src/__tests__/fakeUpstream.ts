import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** How the fake upstream handles its next request; `ok` once its script is empty. */
export type Behaviour =
  | 'ok'
  | 'resetBeforeRun'
  | 'answerLost'
  | 'resetAfterHeaders'
  | 'resetMidBody'
  | 'truncated'
  | 'garbled'
  | 'crossed'
  | 'unnamed'
  | 'swapped'
  | 'busy'
  | 'conflict'
  | 'rejected'
  | 'hang'
  /** Repeats a part of its body, or of an event, until its connection is closed. */
  | 'endless'
  /** A body with neither a length nor chunks that ends with a reset, sent together with its bytes. */
  | 'unframedReset';

export const TOKENS = [' t0', ' t1', ' t2', ' t3', ' t4', ' t5'];
export const BOOT_ID = 'boot';
export const COMPLETE_TEXT = TOKENS.join('');

interface Call {
  readonly path: string;
  readonly method: string;
  readonly body: Record<string, unknown>;
  readonly attemptId: string;
}

const readCall = async (request: IncomingMessage): Promise<Call> => {
  const chunks: Buffer[] = [];
  for await (const chunk of request) chunks.push(chunk as Buffer);
  const text = Buffer.concat(chunks).toString();
  return {
    path: request.url ?? '',
    method: request.method ?? '',
    body: text ? (JSON.parse(text) as Record<string, unknown>) : {},
    attemptId: String(request.headers['x-attempt-id']),
  };
};

const sendJson = (response: ServerResponse, status: number, body: unknown, headers = {}): void => {
  response.writeHead(status, { 'content-type': 'application/json', ...headers });
  response.end(JSON.stringify(body));
};

const buildHead = (call: Call, behaviour: Behaviour): Record<string, string> => ({
  ...(behaviour === 'unnamed'
    ? {}
    : { 'x-attempt-id': behaviour === 'crossed' ? 'other' : call.attemptId }),
  'x-weight-version': behaviour === 'swapped' ? 'v2' : 'v1',
});

const streamTokens = (
  call: Call,
  response: ServerResponse,
  from: number,
  behaviour: Behaviour,
): void => {
  response.writeHead(200, {
    ...buildHead(call, behaviour),
    'content-type': 'text/event-stream',
  });
  response.flushHeaders();
  const cuts = behaviour === 'resetMidBody' || behaviour === 'truncated';
  const until = cuts ? Math.max(from, 3) : TOKENS.length;
  const tokens = behaviour === 'resetAfterHeaders' ? [] : TOKENS.slice(from, until);
  const texts = behaviour === 'crossed' ? tokens.map(() => ' other') : tokens;
  const events = texts.map((text) => `data: ${JSON.stringify({ choices: [{ text }] })}\n\n`);
  const end = cuts || behaviour === 'resetAfterHeaders' ? '' : 'data: [DONE]\n\n';
  const bytes = events.join('') + end;
  if (behaviour.startsWith('reset')) {
    // Lets the events be sent before the connection is reset.
    response.write(bytes || ':\n\n', () => setTimeout(() => response.destroy(), 10));
  } else response.end(bytes);
};

const FILLER = 'x'.repeat(64 * 1024);

const repeatFiller = (response: ServerResponse): void => {
  if (response.destroyed) return;
  if (response.write(FILLER)) setImmediate(() => repeatFiller(response));
  else response.once('drain', () => repeatFiller(response));
};

const sendEndless = (call: Call, response: ServerResponse): void => {
  const type = call.body.stream === true ? 'text/event-stream' : 'application/json';
  response.writeHead(200, { ...buildHead(call, 'ok'), 'content-type': type });
  response.write('data: ');
  repeatFiller(response);
};

const sendUnframedReset = ({ socket }: ServerResponse): void => {
  const head = 'HTTP/1.1 200 OK\r\ncontent-type: application/json\r\n\r\n';
  socket?.write(`${head}{"part`, () => socket.resetAndDestroy());
};

/** Minimal engine and plain service on a loopback port with scripted failures. */
export class FakeUpstream {
  /** Number of requests that it ran. */
  runCount = 0;

  readonly calls: Call[] = [];

  readonly cancelled: string[] = [];

  script: Behaviour[] = [];

  canResume = true;

  /** Number of cancellations that are cut before they are answered. */
  cutCancellations = 0;

  /** Whether load reports, which begin each connection, are answered. */
  canReport = true;

  /** Load reports that were asked for. */
  reportCount = 0;

  private cancelRequests = 0;

  private readonly pendingReports: ServerResponse[] = [];

  /** Responses of requests that are never answered. */
  readonly hangingResponses: ServerResponse[] = [];

  /** Called for each request before the scripted behaviour. */
  onCall: (() => void) | undefined;

  private readonly server = createServer((request, response) => {
    void this.handle(request, response);
  });

  async listen(): Promise<this> {
    await new Promise<void>((resolve) => {
      this.server.listen(0, '127.0.0.1', resolve);
    });
    return this;
  }

  get address(): string {
    return `127.0.0.1:${(this.server.address() as AddressInfo).port}`;
  }

  async close(): Promise<void> {
    this.server.closeAllConnections();
    await new Promise((resolve) => {
      this.server.close(resolve);
    });
  }

  private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const call = await readCall(request);
    if (call.path === '/load') {
      this.reportCount += 1;
      this.pendingReports.push(response);
      if (this.canReport) this.sendReports();
      return;
    }
    if (call.method === 'DELETE') {
      this.cancelRequests += 1;
      if (this.cancelRequests <= this.cutCancellations) {
        response.destroy();
        return;
      }
      this.cancelled.push(call.path.split('/').at(-1) ?? '');
      sendJson(response, 200, {});
      return;
    }
    this.calls.push(call);
    this.onCall?.();
    if (call.path.endsWith('/resume')) this.resume(call, response);
    else this.handleCall(call, response, this.script.shift() ?? 'ok');
  }

  /** Answers the load reports that were asked for. */
  sendReports(): void {
    this.pendingReports
      .splice(0)
      .forEach((response) => sendJson(response, 200, { bootId: BOOT_ID }));
  }

  private resume(call: Call, response: ServerResponse): void {
    if (this.canResume) streamTokens(call, response, Number(call.body.tokens), 'ok');
    else sendJson(response, 404, {});
  }

  private handleCall(call: Call, response: ServerResponse, behaviour: Behaviour): void {
    if (behaviour === 'resetBeforeRun') response.destroy();
    else if (behaviour === 'busy') sendJson(response, 503, {}, { 'x-not-run': 'true' });
    else if (behaviour === 'conflict')
      sendJson(response, 409, { error: { code: 'weight_version' } });
    else if (behaviour === 'rejected') sendJson(response, 400, { error: { code: 'too_long' } });
    else this.run(call, response, behaviour);
  }

  private run(call: Call, response: ServerResponse, behaviour: Behaviour): void {
    this.runCount += 1;
    if (behaviour === 'answerLost') response.destroy();
    else if (behaviour === 'hang') this.hangingResponses.push(response);
    else if (behaviour === 'endless') sendEndless(call, response);
    else if (behaviour === 'unframedReset') sendUnframedReset(response);
    else if (call.body.stream === true) {
      const resume = call.body.resume as { tokens: number } | undefined;
      streamTokens(call, response, resume?.tokens ?? 0, behaviour);
    } else this.sendResponse(call, response, behaviour);
  }

  private sendResponse(call: Call, response: ServerResponse, behaviour: Behaviour): void {
    const body = JSON.stringify({ choices: [{ text: COMPLETE_TEXT }], id: this.runCount });
    response.writeHead(200, {
      ...buildHead(call, behaviour),
      'content-type': 'application/json',
      'content-length': body.length,
    });
    if (behaviour === 'resetAfterHeaders') response.flushHeaders();
    if (behaviour.startsWith('reset') || behaviour === 'truncated') {
      response.write(body.slice(0, behaviour === 'resetAfterHeaders' ? 0 : 10) || '{', () =>
        response.destroy(),
      );
    } else response.end(behaviour === 'garbled' ? '}'.repeat(body.length) : body);
  }
}
