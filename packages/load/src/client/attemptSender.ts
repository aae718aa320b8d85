import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import { CONNECT_TIMEOUT_MS, MAX_RESPONSE_BYTES } from '../constants.js';
import { parseCompletionChunk, parseErrorBody } from './completionChunk.js';
import type { Attempt, AttemptOutcome, RequestPayload } from './attempt.js';
import { readEvents } from './eventStream.js';

const STREAM_END_MARKER = '[DONE]';
const MIN_ERROR_STATUS = 400;
const MS_PER_SECOND = 1_000;

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Collects the chunks of a response. */
class ResponseCollector {
  text = '';

  readonly tokenTimesMs: number[] = [];

  promptTokens = 0;

  cachedTokens = 0;

  addChunk(data: string): void {
    const chunk = parseCompletionChunk(data);
    if (!chunk) return;
    if (chunk.text !== '') this.tokenTimesMs.push(performance.now());
    this.text += chunk.text;
    this.promptTokens = chunk.promptTokens ?? this.promptTokens;
    this.cachedTokens = chunk.cachedTokens ?? this.cachedTokens;
  }

  addText(text: string): void {
    this.text += text;
  }

  buildAttempt(attemptOutcome: AttemptOutcome): Attempt {
    const { text, tokenTimesMs, promptTokens, cachedTokens } = this;
    return {
      outcome: attemptOutcome,
      text,
      tokenArrivalTimesMs: tokenTimesMs,
      promptTokens,
      cachedTokens,
    };
  }
}

const readText = async (body: AsyncIterable<Uint8Array>): Promise<string> => {
  const chunks: Uint8Array[] = [];
  let bytes = 0;
  for await (const chunk of body) {
    bytes += chunk.byteLength;
    if (bytes > MAX_RESPONSE_BYTES) throw new Error('response body too long');
    chunks.push(chunk);
  }
  return Buffer.concat(chunks).toString('utf8');
};

const readErrorResponse = async (response: Dispatcher.ResponseData): Promise<AttemptOutcome> => {
  const status = response.statusCode;
  const text = await readText(response.body as AsyncIterable<Uint8Array>);
  const error = parseErrorBody(text) ?? {
    code: `http_${status}`,
    verdict: 'may-have-run' as const,
  };
  const seconds = Number(response.headers['retry-after']);
  const retryAfterMs = Number.isFinite(seconds) ? seconds * MS_PER_SECOND : undefined;
  const effectiveRetryAfterMs = error.retryAfterMs ?? retryAfterMs;
  return {
    type: 'refused',
    status,
    error: {
      ...error,
      ...(effectiveRetryAfterMs === undefined ? {} : { retryAfterMs: effectiveRetryAfterMs }),
    },
  };
};

const readStream = async (
  response: Dispatcher.ResponseData,
  collector: ResponseCollector,
): Promise<AttemptOutcome> => {
  for await (const data of readEvents(response.body as AsyncIterable<Uint8Array>)) {
    if (data === STREAM_END_MARKER) return { type: 'whole' };
    const error = parseErrorBody(data);
    if (error) return { type: 'refused', status: response.statusCode, error };
    collector.addChunk(data);
  }
  return { type: 'truncated' };
};

const readResponse = async (
  response: Dispatcher.ResponseData,
  payload: RequestPayload,
  collector: ResponseCollector,
): Promise<AttemptOutcome> => {
  if (response.statusCode >= MIN_ERROR_STATUS) return readErrorResponse(response);
  if (payload.isStreaming) return readStream(response, collector);
  const text = await readText(response.body as AsyncIterable<Uint8Array>);
  if (payload.isCompletion) collector.addChunk(text);
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

/** Creates a sender with its own connection pool. */
export const createAttemptSender = (): AttemptSender => {
  const dispatcher = new Agent({ connect: { timeout: CONNECT_TIMEOUT_MS }, pipelining: 1 });
  return {
    send: async (address, payload, signal) => {
      const collector = new ResponseCollector();
      try {
        const response = await request(`http://${address}${payload.path}`, {
          dispatcher,
          method: payload.method,
          headers: payload.headers,
          signal,
          ...(payload.body === undefined ? {} : { body: payload.body }),
        });
        return collector.buildAttempt(await readResponse(response, payload, collector));
      } catch (error) {
        const wasConnected = !CONNECT_ERROR_CODES.has(getErrorCode(error));
        return collector.buildAttempt({ type: wasConnected ? 'cut' : 'unreachable' });
      }
    },
    close: () => dispatcher.destroy(),
  };
};
