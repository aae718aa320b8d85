import { isGoldcrestError } from '@goldcrestscale/core';
import { CONTROL_TIMEOUT_MS, MAX_RESUMES } from '../constants.js';
import { collectText, isJson, parseUsage } from '../upstream/completionPayload.js';
import { END_MARKER, readEventStream } from '../upstream/eventStream.js';
import type { StreamEnd } from '../upstream/eventStream.js';
import type { UpstreamAnswer, UpstreamClient } from '../upstream/upstreamClient.js';
import { createAttemptError } from '../upstream/upstreamError.js';
import { AttemptRunner } from './attempt.js';
import type { Attempt } from './attempt.js';
import { createBrokenStreamError } from './brokenStream.js';
import { buildCancelCall, buildEngineCall, buildResumeCall } from './engineCall.js';

const EVENT_STREAM = 'text/event-stream';

const relayWhole = async (attempt: Attempt, answer: UpstreamAnswer): Promise<void> => {
  const { exchange } = attempt;
  const text = await answer.body.text().catch(() => undefined);
  if (text === undefined || (answer.status < 300 && !isJson(text))) {
    throw createAttemptError('The engine cut its answer.', 'may-have-run');
  }
  attempt.onFirstByte();
  const usage = answer.status < 300 ? parseUsage(text) : undefined;
  if (usage) attempt.onUsage(usage);
  exchange.verdict = 'ran';
  exchange.answer.writeHead(answer.status, {
    'content-type': 'application/json',
    'x-request-id': exchange.requestId,
    'x-goldcrest-verdict': 'ran',
  });
  await exchange.answer.write(text);
  exchange.answer.finish();
};

const relayEvents = async (attempt: Attempt, answer: UpstreamAnswer): Promise<StreamEnd> => {
  const { exchange } = attempt;
  return readEventStream(answer.body, async (data) => {
    if (!exchange.answer.headSent) {
      attempt.onFirstByte();
      exchange.answer.writeHead(200, {
        'content-type': EVENT_STREAM,
        'cache-control': 'no-store',
        'x-request-id': exchange.requestId,
      });
    }
    attempt.receivedEvents.push(data);
    const usage = parseUsage(data);
    if (usage) attempt.onUsage(usage);
    await exchange.answer.write(`data: ${data}\n\n`);
  });
};

/** Sends a completion to an engine and relays its answer, resuming a stream that breaks. */
export class CompletionRunner extends AttemptRunner {
  constructor(private readonly client: UpstreamClient) {
    super();
  }

  override async run(attempt: Attempt): Promise<void> {
    const cancel = (): void => {
      void this.cancel(attempt);
    };
    attempt.signal.addEventListener('abort', cancel, { once: true });
    try {
      const answer = await this.client.send(attempt.upstream, buildEngineCall(attempt));
      if (String(answer.headers['content-type']).startsWith(EVENT_STREAM)) {
        await this.relayStream(attempt, answer);
      } else {
        await relayWhole(attempt, answer);
      }
    } catch (cause) {
      // The engine may go on with a run that nobody reads.
      if (!attempt.signal.aborted && isGoldcrestError(cause) && cause.verdict !== 'not-run')
        cancel();
      throw cause;
    } finally {
      attempt.signal.removeEventListener('abort', cancel);
    }
  }

  private async relayStream(attempt: Attempt, first: UpstreamAnswer): Promise<void> {
    let end = await relayEvents(attempt, first);
    for (let resumes = 0; end === 'broken'; resumes += 1) {
      const isFinal = resumes === MAX_RESUMES || attempt.signal.aborted;
      if (isFinal || attempt.receivedEvents.length === 0) throw createBrokenStreamError();
      end = await this.resume(attempt);
    }
    attempt.exchange.verdict = 'ran';
    await attempt.exchange.answer.write(`data: ${END_MARKER}\n\n`);
    attempt.exchange.answer.finish();
  }

  private async resume(attempt: Attempt): Promise<StreamEnd> {
    const received = collectText(attempt.receivedEvents);
    const answer = await this.client
      .send(attempt.upstream, buildResumeCall(attempt, received))
      .catch(() => undefined);
    if (answer?.status === 200) return relayEvents(attempt, answer);
    await answer?.body.dump();
    throw createBrokenStreamError();
  }

  private async cancel(attempt: Attempt): Promise<void> {
    const deadline = AbortSignal.timeout(CONTROL_TIMEOUT_MS);
    const answer = await this.client
      .send(attempt.upstream, buildCancelCall(attempt, deadline))
      .catch(() => undefined);
    await answer?.body.dump();
  }
}
