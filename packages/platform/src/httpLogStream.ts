import { LogError, LogStream, toLogOffset } from '@goldcrestscale/core';
import type { LogOffset, LogPage, LogReadOptions, StreamName } from '@goldcrestscale/core';
import { z } from 'zod';
import {
  APPEND_TIMEOUT_MS,
  DEFAULT_READ_LIMIT,
  MAX_PAGE_BYTES,
  MAX_RECEIPT_BYTES,
  READ_TIMEOUT_MS,
} from './constants.js';
import { sendJsonRequest } from './sendJsonRequest.js';
import type { JsonResponse, JsonRequest } from './sendJsonRequest.js';

const offsetSchema = z.number().int().nonnegative().transform(toLogOffset);
const appendResponseSchema = z.object({ firstOffset: offsetSchema });
const pageSchema = z.object({
  records: z.array(z.object({ offset: offsetSchema, timeMs: z.number(), value: z.unknown() })),
  headOffset: offsetSchema,
  firstOffset: offsetSchema,
});

const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'UND_ERR_CONNECT_TIMEOUT',
]);
const OK_STATUS = 200;
const GONE_STATUS = 410;
const TOO_MANY_REQUESTS_STATUS = 429;
const UNAVAILABLE_STATUS = 503;

const formatErrorMessage = (error: unknown): string =>
  error instanceof Error ? error.message : String(error);

/** Returns whether a request failed before a connection was established, so nothing was sent. */
const isConnectError = (error: unknown): boolean =>
  error instanceof Error && 'code' in error && CONNECT_ERROR_CODES.has(String(error.code));

/** Sends a request to the log service and converts failures to `LogError`. */
const sendLogRequest = async (request: JsonRequest): Promise<JsonResponse> => {
  let response: JsonResponse;
  try {
    response = await sendJsonRequest(request);
  } catch (error) {
    const failure = isConnectError(error) ? 'refused' : 'unknown';
    throw new LogError(`log not reached: ${formatErrorMessage(error)}`, failure);
  }
  if (response.status === TOO_MANY_REQUESTS_STATUS || response.status === UNAVAILABLE_STATUS) {
    throw new LogError(`log refused with status ${response.status}`, 'refused');
  }
  if (response.status === GONE_STATUS) {
    const parsed = appendResponseSchema.safeParse(response.body);
    throw new LogError('offset is trimmed', 'trimmed', parsed.data?.firstOffset);
  }
  return response;
};

/** Appends to and reads from a stream of the platform's log over HTTP. */
class HttpLogStream extends LogStream {
  constructor(private readonly recordsUrl: string) {
    super();
  }

  override async append(values: readonly unknown[], signal?: AbortSignal): Promise<LogOffset> {
    if (signal?.aborted) throw new LogError('append aborted before it was sent', 'refused');
    const response = await sendLogRequest({
      url: this.recordsUrl,
      method: 'POST',
      timeoutMs: APPEND_TIMEOUT_MS,
      maxBytes: MAX_RECEIPT_BYTES,
      body: { records: values },
      signal,
    });
    const parsed = appendResponseSchema.safeParse(response.body);
    if (response.status !== OK_STATUS || !parsed.success) {
      throw new LogError(`append answered with status ${response.status}`, 'unknown');
    }
    return parsed.data.firstOffset;
  }

  override async read(from: LogOffset, options: LogReadOptions = {}): Promise<LogPage> {
    const waitMs = options.waitMs ?? 0;
    const limit = options.limit ?? DEFAULT_READ_LIMIT;
    const response = await sendLogRequest({
      url: `${this.recordsUrl}?from=${from}&limit=${limit}&waitMs=${waitMs}`,
      method: 'GET',
      timeoutMs: waitMs + READ_TIMEOUT_MS,
      maxBytes: MAX_PAGE_BYTES,
      signal: options.signal,
    });
    const parsed = pageSchema.safeParse(response.body);
    if (response.status !== OK_STATUS || !parsed.success) {
      throw new LogError(
        `log service responded to a read with status ${response.status}`,
        'unknown',
      );
    }
    const { length } = parsed.data.records;
    if (length > limit)
      throw new LogError(`log service gave ${length} records, over ${limit}`, 'unknown');
    return parsed.data;
  }
}

/** Creates a client for one stream of the platform's log. */
export const createHttpLogStream = (baseUrl: string, streamName: StreamName): LogStream =>
  new HttpLogStream(`${baseUrl}/streams/${encodeURIComponent(streamName)}/records`);
