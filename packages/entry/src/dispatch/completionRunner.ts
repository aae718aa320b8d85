import { isGoldcrestError } from '@goldcrestscale/core';
import type { BootId } from '@goldcrestscale/core';
import { MAX_STREAM_RESUMES } from '../constants.js';
import { collectText, isJson, parseUsage } from '../upstream/completionPayload.js';
import { END_MARKER, readEventStream } from '../upstream/eventStream.js';
import type { StreamEnd } from '../upstream/eventStream.js';
import { ResponseBodyError } from '../upstream/responseBodyError.js';
import { ResponseBodyReader } from '../upstream/responseBodyReader.js';
import type { ResponseMemory } from '../upstream/responseBodyReader.js';
import type { UpstreamResponse, UpstreamClient } from '../upstream/upstreamClient.js';
import { createAttemptError, createMemoryError } from '../upstream/upstreamErrors.js';
import { AttemptRunner } from './attempt.js';
import type { Attempt } from './attempt.js';
import { createBrokenStreamError } from './brokenStreamError.js';
import { buildCancelCall, buildEngineCall, buildResumeCall } from './engineCalls.js';

const EVENT_STREAM_TYPE = 'text/event-stream';

const readText = async (
  reader: ResponseBodyReader,
  response: UpstreamResponse,
): Promise<string | undefined> => {
  try {
    return String(await reader.read(response.body));
  } catch (cause) {
    if (cause instanceof ResponseBodyError && cause.reason === 'no memory') {
      throw createMemoryError(cause, 'upstream_failed');
    }
    return undefined;
  }
};

const relayBody = async (
  attempt: Attempt,
  response: UpstreamResponse,
  reader: ResponseBodyReader,
): Promise<void> => {
  const { exchange } = attempt;
  const text = await readText(reader, response);
  if (text === undefined || (response.status < 300 && !isJson(text))) {
    throw createAttemptError('The engine cut its answer.', 'may-have-run');
  }
  attempt.onFirstByte();
  const usage = response.status < 300 ? parseUsage(text) : undefined;
  if (usage) attempt.onUsage(usage);
  exchange.verdict = 'ran';
  exchange.response.writeHead(response.status, {
    'content-type': 'application/json',
    'x-request-id': exchange.requestId,
    'x-goldcrest-verdict': 'ran',
  });
  await exchange.response.write(text);
  exchange.response.finish();
};

const relayEvents = async (
  attempt: Attempt,
  response: UpstreamResponse,
  memory: ResponseMemory,
): Promise<StreamEnd> => {
  const { exchange } = attempt;
  const end = readEventStream(response.body, memory, async (data) => {
    if (!exchange.response.isHeadSent) {
      attempt.onFirstByte();
      exchange.response.writeHead(200, {
        'content-type': EVENT_STREAM_TYPE,
        'cache-control': 'no-store',
        'x-request-id': exchange.requestId,
      });
    }
    attempt.relayedEvents.add(data, memory.budget);
    const usage = parseUsage(data);
    if (usage) attempt.onUsage(usage);
    await exchange.response.write(`data: ${data}\n\n`);
  });
  return end.catch((cause: unknown) => {
    throw cause instanceof ResponseBodyError ? createMemoryError(cause, 'stream_broken') : cause;
  });
};

/** Sends a completion request to an engine and relays the response; resumes interrupted streams. */
export class CompletionRunner extends AttemptRunner {
  constructor(private readonly client: UpstreamClient) {
    super();
  }

  override async run(attempt: Attempt): Promise<void> {
    let bootId: BootId | undefined;
    const reader = new ResponseBodyReader(this.client.memory);
    const cancel = (): void => {
      if (bootId !== undefined) void this.cancel(attempt);
    };
    attempt.signal.addEventListener('abort', cancel, { once: true });
    try {
      const response = await this.client.send(attempt.upstream, {
        ...buildEngineCall(attempt),
        onBeforeSend(connectionBootId) {
          attempt.onBeforeSend(connectionBootId);
          bootId = connectionBootId;
        },
      });
      if (String(response.headers['content-type']).startsWith(EVENT_STREAM_TYPE)) {
        await this.relayStream(attempt, response, bootId);
      } else {
        await relayBody(attempt, response, reader);
      }
    } catch (cause) {
      // Otherwise the engine may continue to generate a response that nobody reads.
      if (!attempt.signal.aborted && isGoldcrestError(cause) && cause.verdict !== 'not-run')
        cancel();
      throw cause;
    } finally {
      reader.release();
      attempt.signal.removeEventListener('abort', cancel);
    }
  }

  /** @param bootId process that the stream comes from */
  private async relayStream(
    attempt: Attempt,
    initialResponse: UpstreamResponse,
    bootId: BootId | undefined,
  ): Promise<void> {
    let end = await relayEvents(attempt, initialResponse, this.client.memory);
    for (let resumes = 0; end === 'broken'; resumes += 1) {
      const { relayedEvents, signal } = attempt;
      const mustStop = resumes === MAX_STREAM_RESUMES || signal.aborted;
      if (mustStop || !bootId || relayedEvents.list().length === 0) throw createBrokenStreamError();
      end = await this.resume(attempt, bootId);
    }
    attempt.exchange.verdict = 'ran';
    await attempt.exchange.response.write(`data: ${END_MARKER}\n\n`);
    attempt.exchange.response.finish();
  }

  private async resume(attempt: Attempt, bootId: BootId): Promise<StreamEnd> {
    const received = collectText(attempt.relayedEvents.list());
    const response = await this.client
      .send(attempt.upstream, buildResumeCall(attempt, received, bootId))
      .catch(() => undefined);
    if (response?.status === 200) return relayEvents(attempt, response, this.client.memory);
    await response?.body.dump();
    throw createBrokenStreamError();
  }

  private async cancel(attempt: Attempt): Promise<void> {
    const send = (): Promise<UpstreamResponse> =>
      this.client.sendControlCall(attempt.upstream, buildCancelCall(attempt));
    const response = await send()
      .catch(send)
      .catch(() => undefined);
    await response?.body.dump().catch(() => undefined);
  }
}
