import type { CompletionWorkload, ServiceWorkload, Workload } from '../config.js';
import { generatePrompt } from '../workload/index.js';
import type { PlannedRequest } from '../workload/index.js';
import type { RequestPayload } from './attempt.js';
import { generateIdempotencyKey } from './idempotencyKey.js';

/** Values that all payloads of a run share. */
export interface PayloadContext {
  readonly seed: number;
  /** Unique id of the run, so that services count its calls separately from those of other runs. */
  readonly runId: string;
  readonly apiKeys: ReadonlyMap<string, string>;
}

/** Gets the reference under which a service counts a call. */
export const getCallRef = (context: PayloadContext, planned: PlannedRequest): string =>
  `${context.runId}:${planned.session}`;

const buildHeaders = (
  context: PayloadContext,
  planned: PlannedRequest,
  workload: Workload,
): Record<string, string> => ({
  authorization: `Bearer ${context.apiKeys.get(planned.account) ?? ''}`,
  ...(workload.workloadId === undefined ? {} : { 'x-workload': workload.workloadId }),
});

const buildCompletion = (
  context: PayloadContext,
  planned: PlannedRequest,
  workload: CompletionWorkload,
): RequestPayload => {
  const prompt = generatePrompt(context.seed, planned.session, planned.promptTokens);
  return {
    method: 'POST',
    path: workload.chat ? '/v1/chat/completions' : '/v1/completions',
    headers: {
      ...buildHeaders(context, planned, workload),
      'content-type': 'application/json',
    },
    body: JSON.stringify({
      model: workload.model,
      max_tokens: workload.answerTokens,
      ...(workload.chat ? { messages: [{ role: 'user', content: prompt }] } : { prompt }),
      ...(workload.stream ? { stream: true, stream_options: { include_usage: true } } : {}),
    }),
    isStreaming: workload.stream,
    isCompletion: true,
  };
};

const buildServiceCall = (
  context: PayloadContext,
  planned: PlannedRequest,
  workload: ServiceWorkload,
): RequestPayload => ({
  method: workload.method,
  path: `/v1/services/${workload.service}${workload.path}`,
  headers: {
    ...buildHeaders(context, planned, workload),
    ...(workload.method === 'POST' ? { 'content-type': 'application/json' } : {}),
    ...(workload.unrepeatable ? { 'idempotency-key': generateIdempotencyKey() } : {}),
  },
  ...(workload.method === 'POST'
    ? { body: JSON.stringify({ ref: getCallRef(context, planned) }) }
    : {}),
  isStreaming: false,
  isCompletion: false,
});

/** Builds the payload of a planned request; every attempt sends the same payload. */
export const buildPayload = (
  context: PayloadContext,
  planned: PlannedRequest,
  workload: Workload,
): RequestPayload =>
  workload.type === 'completion'
    ? buildCompletion(context, planned, workload)
    : buildServiceCall(context, planned, workload);
