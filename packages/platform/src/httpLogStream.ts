import { LogError, LogStream, toLogOffset } from '@goldcrestscale/core';
import type { LogOffset, LogPage, LogReadOptions, StreamName } from '@goldcrestscale/core';
import { z } from 'zod';
import { APPEND_TIMEOUT_MS, DEFAULT_READ_LIMIT, READ_TIMEOUT_MS } from './constants.js';
import { sendCall } from './httpCall.js';
import type { HttpAnswer, HttpCall } from './httpCall.js';

const offsetSchema = z.number().int().nonnegative().transform(toLogOffset);
const appendAnswerSchema = z.object({ firstOffset: offsetSchema });
const pageSchema = z.object({
  records: z.array(z.object({ offset: offsetSchema, timeMs: z.number(), value: z.unknown() })),
  headOffset: offsetSchema,
  firstOffset: offsetSchema,
});

const CONNECT_FAILURES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const HTTP_OK = 200;
const HTTP_GONE = 410;
const HTTP_TOO_MANY = 429;
const HTTP_UNAVAILABLE = 503;

const describeCause = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** Tells whether a call failed before a connection was there, so that nothing was sent. */
const isConnectFailure = (error: unknown): boolean =>
  error instanceof Error && 'code' in error && CONNECT_FAILURES.has(String(error.code));

/** Sends a call and turns its failure into a `LogError`. */
const sendLogCall = async (call: HttpCall): Promise<HttpAnswer> => {
  let answer: HttpAnswer;
  try {
    answer = await sendCall(call);
  } catch (error) {
    const failure = isConnectFailure(error) ? 'refused' : 'unknown';
    throw new LogError(`log not reached: ${describeCause(error)}`, failure);
  }
  if (answer.status === HTTP_TOO_MANY || answer.status === HTTP_UNAVAILABLE) {
    throw new LogError(`log refused with status ${answer.status}`, 'refused');
  }
  if (answer.status === HTTP_GONE) {
    const parsed = appendAnswerSchema.safeParse(answer.body);
    throw new LogError('offset is trimmed', 'trimmed', parsed.data?.firstOffset);
  }
  return answer;
};

/** Appends to and reads a stream of the platform's log over HTTP. */
class HttpLogStream extends LogStream {
  constructor(private readonly recordsUrl: string) {
    super();
  }

  override async append(values: readonly unknown[], signal?: AbortSignal): Promise<LogOffset> {
    if (signal?.aborted) throw new LogError('append aborted before it was sent', 'refused');
    const answer = await sendLogCall({
      url: this.recordsUrl,
      method: 'POST',
      timeoutMs: APPEND_TIMEOUT_MS,
      body: { records: values },
      signal,
    });
    const parsed = appendAnswerSchema.safeParse(answer.body);
    if (answer.status !== HTTP_OK || !parsed.success) {
      throw new LogError(`append answered with status ${answer.status}`, 'unknown');
    }
    return parsed.data.firstOffset;
  }

  override async read(from: LogOffset, options: LogReadOptions = {}): Promise<LogPage> {
    const waitMs = options.waitMs ?? 0;
    const limit = options.limit ?? DEFAULT_READ_LIMIT;
    const answer = await sendLogCall({
      url: `${this.recordsUrl}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      method: 'GET',
      timeoutMs: waitMs + READ_TIMEOUT_MS,
      signal: options.signal,
    });
    const parsed = pageSchema.safeParse(answer.body);
    if (answer.status !== HTTP_OK || !parsed.success) {
      throw new LogError(`read answered with status ${answer.status}`, 'unknown');
    }
    return parsed.data;
  }
}

/** Creates the client of one stream of the platform's log. */
export const createHttpLogStream = (baseUrl: string, streamName: StreamName): LogStream =>
  new HttpLogStream(`${baseUrl}/streams/${encodeURIComponent(streamName)}/records`);
