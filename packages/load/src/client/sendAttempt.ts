import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { CONNECT_TIMEOUT_MS, MAX_ANSWER_BYTES } from '../constants.js';
import { parseAnswerFrame, parseErrorFrame } from './answerFrame.js';
import type { Attempt, AttemptEnd, RequestPayload } from './attempt.js';
import { readEvents } from './eventStream.js';

const END_MARKER = '[DONE]';
const HTTP_ERROR = 400;
const MS_PER_SECOND = 1_000;

const NOT_CONNECTED: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Answer as it comes in. */
class AnswerCollector {
  text = '';

  readonly tokenTimesMs: number[] = [];

  promptTokens = 0;

  cachedTokens = 0;

  addFrame(data: string): void {
    const frame = parseAnswerFrame(data);
    if (!frame) return;
    if (frame.text !== '') this.tokenTimesMs.push(performance.now());
    this.text += frame.text;
    this.promptTokens = frame.promptTokens ?? this.promptTokens;
    this.cachedTokens = frame.cachedTokens ?? this.cachedTokens;
  }

  addText(text: string): void {
    this.text += text;
  }

  buildAttempt(end: AttemptEnd): Attempt {
    const { text, tokenTimesMs, promptTokens, cachedTokens } = this;
    return { end, text, tokenTimesMs, promptTokens, cachedTokens };
  }
}

const readText = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.byteLength;
    if (bytes > MAX_ANSWER_BYTES) throw new Error('answer too long');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
};

const readRefusal = async (answer: Dispatcher.ResponseData): Promise<AttemptEnd> => {
  const status = answer.statusCode;
  const text = await readText(answer.body as AsyncIterable<Uint8Array>);
  const error = parseErrorFrame(text) ?? {
    code: `http_${status}`,
    verdict: 'may-have-run' as const,
  };
  const seconds = Number(answer.headers['retry-after']);
  const retryAfterMs = Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
  const named = error.retryAfterMs ?? retryAfterMs;
  return {
    type: 'refused',
    status,
    error: { ...error, ...(named === undefined ? {} : { retryAfterMs: named }) },
  };
};

const readStream = async (
  answer: Dispatcher.ResponseData,
  collector: AnswerCollector,
): Promise<AttemptEnd> => {
  for await (const data of readEvents(answer.body as AsyncIterable<Uint8Array>)) {
    if (data === END_MARKER) return { type: 'whole' };
    const error = parseErrorFrame(data);
    if (error) return { type: 'refused', status: answer.statusCode, error };
    collector.addFrame(data);
  }
  return { type: 'truncated' };
};

const readAnswer = async (
  answer: Dispatcher.ResponseData,
  payload: RequestPayload,
  collector: AnswerCollector,
): Promise<AttemptEnd> => {
  if (answer.statusCode >= HTTP_ERROR) return readRefusal(answer);
  if (payload.stream) return readStream(answer, collector);
  const text = await readText(answer.body as AsyncIterable<Uint8Array>);
  if (payload.completion) collector.addFrame(text);
  else collector.addText(text);
  return { type: 'whole' };
};

const getErrorCode = (error: unknown): string =>
  String((error as NodeJS.ErrnoException | undefined)?.code ?? '');

/** Sends attempts to entry VMs. */
export interface AttemptSender {
  send(address: string, payload: RequestPayload, signal: AbortSignal): Promise<Attempt>;
  close(): Promise<void>;
}

/** Creates a sender with a connection pool of its own. */
export const createAttemptSender = (): AttemptSender => {
  const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 });
  return {
    send: async (address, payload, signal) => {
      const collector = new AnswerCollector();
      try {
        const answer = await request(`http://${address}${payload.path}`, {
          dispatcher,
          method: payload.method,
          headers: payload.headers,
          signal,
          ...(payload.body === undefined ? {} : { body: payload.body }),
        });
        return collector.buildAttempt(await readAnswer(answer, payload, collector));
      } catch (error) {
        const isConnected = !NOT_CONNECTED.has(getErrorCode(error));
        return collector.buildAttempt({ type: isConnected ? 'cut' : 'unreachable' });
      }
    },
    close: () => dispatcher.destroy(),
  };
};
