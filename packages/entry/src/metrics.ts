import type { ClientAccountId, GoldcrestErrorInstance, Verdict } from '@goldcrestscale/core';
import type { MetricsRegistry } from '@goldcrestscale/runtime';
import type { TokenUsage } from './upstream/completionPayload.js';

/** Metrics of the entry daemon. */
export interface EntryMetrics {
  recordResponse(accountId: ClientAccountId | undefined, code: string, verdict: Verdict): void;
  recordFirstByte(accountId: ClientAccountId | undefined, elapsedMs: number): void;
  recordUsage(accountId: ClientAccountId | undefined, usage: TokenUsage): void;
  recordFailure(upstreamId: string, error: GoldcrestErrorInstance): void;
  recordInvalidKey(listener: 'operations' | 'mesh'): void;
  /** Sets the bytes of bodies that are held for callers and of upstreams. */
  setBufferedBytes(bytes: number): void;
  /** Counts a body of an upstream that was not kept, by the reason. */
  recordRefusedBody(reason: string): void;
  /** Counts an unexpected error that ended one request. */
  recordFault(): void;
}

const UNKNOWN_ACCOUNT = 'unknown';

const createMemoryMetrics = (
  metrics: MetricsRegistry,
): Pick<EntryMetrics, 'setBufferedBytes' | 'recordRefusedBody'> => {
  const bufferedBytes = metrics.createGauge({
    name: 'goldcrest_buffered_bytes',
    help: 'Bytes of the bodies of callers and upstreams that are held.',
  });
  const refusedBodies = metrics.createCounter({
    name: 'goldcrest_refused_bodies_total',
    help: 'Bodies of upstreams that were not kept, by reason: too large, or no memory.',
    labelNames: ['reason'],
  });
  return {
    setBufferedBytes: (bytes) => bufferedBytes.set(bytes),
    recordRefusedBody: (reason) => refusedBodies.inc({ reason }),
  };
};

/** Creates the metrics of the entry daemon in a registry. */
export const createEntryMetrics = (metrics: MetricsRegistry): EntryMetrics => {
  const responses = metrics.createCounter({
    name: 'goldcrest_answers_total',
    help: 'Answers to callers by client account, error code and verdict.',
    labelNames: ['account', 'code', 'verdict'],
  });
  const firstByte = metrics.createLatencyHistogram({
    name: 'goldcrest_first_byte_ms',
    help: 'Time from the receipt of a request to the first byte of its answer.',
    labelNames: ['account'],
  });
  const promptTokens = metrics.createCounter({
    name: 'goldcrest_prompt_tokens_total',
    help: 'Prompt tokens by client account and whether the engine had them cached.',
    labelNames: ['account', 'source'],
  });
  const failures = metrics.createCounter({
    name: 'goldcrest_attempt_failures_total',
    help: 'Failed attempts by upstream, code and verdict.',
    labelNames: ['upstream', 'code', 'verdict'],
  });
  const invalidKeys = metrics.createCounter({
    name: 'goldcrest_wrong_keys_total',
    help: 'Requests with a wrong key by listener.',
    labelNames: ['listener'],
  });
  const faults = metrics.createCounter({
    name: 'goldcrest_faults_total',
    help: 'Unexpected errors, each of which ended one request; see the log.',
  });
  return {
    ...createMemoryMetrics(metrics),
    recordFault: () => faults.inc(),
    recordResponse: (account, code, verdict) =>
      responses.inc({ account: account ?? UNKNOWN_ACCOUNT, code, verdict }),
    recordFirstByte: (account, elapsedMs) =>
      firstByte.observe({ account: account ?? UNKNOWN_ACCOUNT }, elapsedMs),
    recordUsage(account, usage) {
      promptTokens.inc(
        { account: account ?? UNKNOWN_ACCOUNT, source: 'cached' },
        usage.cachedTokens,
      );
      promptTokens.inc(
        { account: account ?? UNKNOWN_ACCOUNT, source: 'computed' },
        usage.promptTokens - usage.cachedTokens,
      );
    },
    recordFailure: (upstream, { code, verdict }) => failures.inc({ upstream, code, verdict }),
    recordInvalidKey: (listener) => invalidKeys.inc({ listener }),
  };
};
