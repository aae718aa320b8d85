import type { BootId } from '@goldcrestscale/core';
import type { CompletionTarget } from '../filters/exchange.js';
import { collectText } from '../upstream/completionPayload.js';
import type { ReceivedText } from '../upstream/completionPayload.js';
import type { CallerCall, UpstreamCall } from '../upstream/upstreamClient.js';
import type { Attempt } from './attempt.js';
import { createNoUpstreamRefusal } from './upstreamDirectory.js';

/** Returns the completion target of an attempt. */
export const getCompletionTarget = (attempt: Attempt): CompletionTarget => {
  const { target } = attempt.exchange;
  if (target.kind !== 'completion') throw new TypeError('the target is not a completion');
  return target;
};

const buildHeaders = (attempt: Attempt): Record<string, string> => {
  const { workload, weightVersion, requestId } = attempt.exchange;
  return {
    'content-type': 'application/json',
    'x-request-id': requestId,
    'x-priority': String(workload?.priority ?? 0),
    ...(weightVersion === undefined ? {} : { 'x-weight-version': weightVersion }),
  };
};

const buildBody = (attempt: Attempt): string => {
  const target = getCompletionTarget(attempt);
  const blocks = attempt.exchange.blocks ?? [];
  const resume = collectText(attempt.relayedEvents.list());
  return JSON.stringify({
    ...target.fields,
    ...(blocks.length > 0 ? { kv: { blocks } } : {}),
    ...(resume.tokens > 0 ? { resume } : {}),
  });
};

/** Builds the call that starts a completion or continues one interrupted on another engine. */
export const buildEngineCall = (attempt: Attempt): CallerCall => ({
  attemptId: attempt.attemptId,
  method: 'POST',
  path: getCompletionTarget(attempt).path,
  headers: buildHeaders(attempt),
  body: buildBody(attempt),
  signal: attempt.signal,
  onBeforeSend: attempt.onBeforeSend,
  requiresAttemptIdEcho: true,
});

/** Builds the call that fetches the rest of a response from the process that generates it. */
export const buildResumeCall = (
  attempt: Attempt,
  received: ReceivedText,
  bootId: BootId,
): CallerCall => ({
  attemptId: attempt.attemptId,
  method: 'POST',
  path: `/v1/requests/${attempt.attemptId}/resume`,
  headers: buildHeaders(attempt),
  body: JSON.stringify({ tokens: received.tokens }),
  signal: attempt.signal,
  onBeforeSend(connectionBootId) {
    attempt.assertSendable();
    if (connectionBootId !== bootId) throw createNoUpstreamRefusal();
  },
  requiresAttemptIdEcho: true,
});

/** Builds the call that cancels an attempt on its engine. */
export const buildCancelCall = (attempt: Attempt): UpstreamCall => ({
  attemptId: attempt.attemptId,
  method: 'DELETE',
  path: `/v1/requests/${attempt.attemptId}`,
  headers: {},
  requiresAttemptIdEcho: false,
});
