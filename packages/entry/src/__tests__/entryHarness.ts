import { createHash } from 'node:crypto';
import type { AddressInfo } from 'node:net';
import { fetch } from 'undici';
import type { Response } from 'undici';
import {
  AdmissionQueue,
  BudgetedRetryPolicy,
  FairSharePolicy,
  IsolatedUsageExchange,
  LeastLoadRouter,
  createConfigTable,
  createRandomGenerator,
  createTableState,
  getRowKey,
  rowSchema,
  toId,
  toLogOffset,
} from '@goldcrestscale/core';
import type {
  AvailabilityZoneId,
  BootId,
  EditId,
  ModelId,
  RetryPolicy,
  UpstreamId,
  UpstreamView,
  WeightVersion,
} from '@goldcrestscale/core';
import { ByteBudget, EventLoopBarrier, createMetricsRegistry } from '@goldcrestscale/runtime';
import type { Logger } from '@goldcrestscale/runtime';
import { CompletionRunner } from '../dispatch/completionRunner.js';
import type { AttemptRunner } from '../dispatch/attempt.js';
import { SlotRunner } from '../dispatch/slotRunner.js';
import { ServiceRunner } from '../dispatch/serviceRunner.js';
import { AdmissionFilter } from '../filters/admissionFilter.js';
import { DeadlineFilter } from '../filters/deadlineFilter.js';
import { DispatchFilter } from '../filters/dispatchFilter.js';
import type { UpstreamDirectory } from '../filters/dispatchFilter.js';
import { AccountFilter, authenticateCaller } from '../filters/accountFilter.js';
import { ErrorResponseFilter } from '../filters/errorResponseFilter.js';
import { WeightVersionFilter } from '../filters/weightVersionFilter.js';
import { createCallerServer } from '../http/callerServer.js';
import { createEntryMetrics } from '../metrics.js';
import { createUpstreamClient } from '../upstream/upstreamClient.js';
import type { UpstreamClient } from '../upstream/upstreamClient.js';
import { BOOT_ID } from './fakeUpstream.js';
import type { FakeUpstream } from './fakeUpstream.js';
import { CountingSlotPolicy } from './countingSlotPolicy.js';

export const API_KEY = 'key-1';
export const LIMITED_KEY = 'key-2';

const hashKey = (key: string): string => createHash('sha256').update(key).digest('hex');

const ROWS = [
  { kind: 'account', id: 'mill', keyHashes: [hashKey(API_KEY)] },
  { kind: 'account', id: 'yard', keyHashes: [hashKey(LIMITED_KEY)], maxRequestsPerSecond: 2 },
  { kind: 'workload', id: 'summaries', accountId: 'mill', model: 'small' },
  { kind: 'workload', id: 'notes', accountId: 'yard', model: 'small' },
  { kind: 'workload', id: 'tickets', accountId: 'mill', service: 'tickets' },
  { kind: 'model', id: 'small', version: 'v1' },
  {
    kind: 'service',
    id: 'tickets',
    unrepeatable: [{ method: 'POST', pathPrefix: '/tickets' }],
  },
].map((row) => rowSchema.parse(row));

const createTable = () =>
  createConfigTable({
    ...createTableState(),
    rows: new Map(
      ROWS.map((row) => [
        getRowKey(row),
        { row, offset: toLogOffset(0), editId: toId<EditId>('edit') },
      ]),
    ),
  });

const logger = {
  info: () => undefined,
  warn: () => undefined,
  error: () => undefined,
  debug: () => undefined,
  createPartLogger: () => logger,
} as unknown as Logger;

/** Options of an entry daemon that runs in the test process. */
export interface HarnessOptions {
  readonly upstreams: readonly (FakeUpstream | string)[];
  readonly retryPolicy?: RetryPolicy;
  /** Limit of the bytes that are buffered for callers. */
  readonly bufferBytes?: number;
  createCompletionRunner?(client: UpstreamClient): AttemptRunner;
  createServiceRunner?(client: UpstreamClient): AttemptRunner;
}

/** An entry's filter chain in front of fake upstreams, served on a loopback port. */
export interface Harness {
  readonly baseUrl: string;
  readonly directory: UpstreamDirectory;
  /** Outcomes of the attempts, in order. */
  readonly outcomes: string[];
  /** Indices of the upstreams that are not eligible. */
  readonly ineligibleIndices: Set<number>;
  readonly slots: CountingSlotPolicy;
  readonly budget: ByteBudget;
  /** Why bodies of upstreams were not kept, in order. */
  readonly refusedBodies: readonly string[];
  close(): Promise<void>;
}

const createView = (address: string, index: number, role: UpstreamView['role']): UpstreamView => ({
  upstreamId: toId<UpstreamId>(`${role}-${index}`),
  role,
  address,
  availabilityZone: toId<AvailabilityZoneId>(`zone-${index}`),
  bootId: toId<BootId>(BOOT_ID),
  model: toId<ModelId>('small'),
  weightVersion: toId<WeightVersion>('v1'),
  eligible: true,
  cold: false,
  running: index,
  waiting: 0,
  waitingPromptTokens: 0,
  prefillTokensPerSecond: 1_000,
  maxConcurrent: 8,
  coldConcurrent: 2,
  ageMs: 0,
  dispatchedSince: 0,
  dispatchedTokensSince: 0,
});

const createDirectory = (
  options: HarnessOptions,
  outcomes: string[],
  ineligibleIndices: Set<number>,
) => {
  const list = (role: UpstreamView['role']): readonly UpstreamView[] =>
    options.upstreams.map((upstream, index) => ({
      ...createView(typeof upstream === 'string' ? upstream : upstream.address, index, role),
      eligible: !ineligibleIndices.has(index),
    }));
  const directory: UpstreamDirectory = {
    listEngines: () => list('engine'),
    listServices: () => list('service'),
    findView: (upstreamId) =>
      [...list('engine'), ...list('service')].find((view) => view.upstreamId === upstreamId),
    recordDispatch: () => undefined,
    recordOutcome: (_upstreamId, outcome) => outcomes.push(outcome),
  };
  return directory;
};

const createFilters = (
  options: HarnessOptions,
  client: UpstreamClient,
  directory: UpstreamDirectory,
  slots: CountingSlotPolicy,
) => {
  const createSlotRunner = (runner: AttemptRunner) => new SlotRunner(runner, slots);
  const table = createTable();
  const metrics = createEntryMetrics(createMetricsRegistry());
  const countCapacity = () => 64;
  const queue = new AdmissionQueue({
    policy: new FairSharePolicy(),
    usageExchange: new IsolatedUsageExchange(() => 1),
    countCapacity,
  });
  return [
    new ErrorResponseFilter(logger, metrics),
    new AccountFilter(() => table),
    new DeadlineFilter(),
    new WeightVersionFilter({ getTable: () => table, listServedVersions: () => [] }),
    new AdmissionFilter({ queue, countCapacity }),
    new DispatchFilter({
      router: new LeastLoadRouter(),
      budget: client.memory.budget,
      inputBarrier: new EventLoopBarrier(),
      retryPolicy: options.retryPolicy ?? new BudgetedRetryPolicy(createRandomGenerator(1)),
      directory,
      completionRunner:
        options.createCompletionRunner?.(client) ?? createSlotRunner(new CompletionRunner(client)),
      serviceRunner:
        options.createServiceRunner?.(client) ?? createSlotRunner(new ServiceRunner(client)),
      observer: { onFirstByte() {}, onUsage() {}, onFailure() {} },
    }),
  ];
};

/** Starts an entry in front of fake upstreams. */
export const startHarness = async (options: HarnessOptions): Promise<Harness> => {
  const budget = new ByteBudget(options.bufferBytes ?? Infinity);
  const refusedBodies: string[] = [];
  const client = createUpstreamClient(new EventLoopBarrier(), {
    budget,
    onRefused: (reason) => refusedBodies.push(reason),
  });
  const outcomes: string[] = [];
  const ineligibleIndices = new Set<number>();
  const directory = createDirectory(options, outcomes, ineligibleIndices);
  const slots = new CountingSlotPolicy();
  const server = createCallerServer({
    filters: createFilters(options, client, directory, slots),
    budget,
    checkHeaders(headers) {
      authenticateCaller(createTable(), headers);
    },
    estimateArrivalMs: () => performance.now(),
    buildEntries: () => ({ entries: [], ttlMs: 1 }),
    onFault: () => undefined,
  });
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return {
    baseUrl: `http://127.0.0.1:${(server.address() as AddressInfo).port}`,
    directory,
    outcomes,
    ineligibleIndices,
    slots,
    budget,
    refusedBodies,
    async close() {
      server.closeAllConnections();
      await new Promise((resolve) => {
        server.close(resolve);
      });
      await client.close();
    },
  };
};

/** Response as a caller receives it. */
export interface ReceivedResponse {
  readonly status: number;
  readonly verdict: string | null;
  readonly retryAfter: string | null;
  /** Text of the completion. */
  readonly text: string;
  readonly isComplete: boolean;
  /** Code of the typed error, from the body or the last event. */
  readonly errorCode: string | undefined;
}

interface Payload {
  readonly choices?: readonly { readonly text: string }[];
  readonly error?: { readonly code: string };
}

const parsePayloads = (body: string, isStream: boolean): readonly Payload[] => {
  const texts = isStream
    ? body.split('\n\n').filter((event) => event.startsWith('data: {'))
    : [`data: ${body}`];
  return texts.flatMap((text) => {
    try {
      return [JSON.parse(text.slice('data: '.length)) as Payload];
    } catch {
      return [];
    }
  });
};

const readResponse = async (response: Response): Promise<ReceivedResponse> => {
  const body = await response.text().catch(() => '');
  const isStream = String(response.headers.get('content-type')).startsWith('text/event-stream');
  const payloads = parsePayloads(body, isStream);
  return {
    status: response.status,
    verdict: response.headers.get('x-goldcrest-verdict'),
    retryAfter: response.headers.get('retry-after'),
    text: payloads.map((payload) => payload.choices?.[0]?.text ?? '').join(''),
    isComplete: isStream ? body.includes('data: [DONE]') : payloads.length === 1,
    errorCode: payloads.find((payload) => payload.error)?.error?.code,
  };
};

/** Requests a completion with a plain HTTP client. */
export const requestCompletion = async (
  { baseUrl }: Harness,
  { stream = true, headers = {}, signal }: CompletionRequestOptions = {},
): Promise<ReceivedResponse> =>
  readResponse(
    await fetch(`${baseUrl}/v1/completions`, {
      method: 'POST',
      headers: { authorization: `Bearer ${API_KEY}`, ...headers },
      body: JSON.stringify({ model: 'small', prompt: 'hello', stream }),
      ...(signal ? { signal } : {}),
    }),
  );

/** Options of a completion request. */
export interface CompletionRequestOptions {
  readonly stream?: boolean;
  readonly headers?: Record<string, string>;
  readonly signal?: AbortSignal;
}

/** Sends a request to the plain service. */
export const callService = async (
  { baseUrl }: Pick<Harness, 'baseUrl'>,
  method: 'GET' | 'POST',
  body = '{}',
): Promise<ReceivedResponse> =>
  readResponse(
    await fetch(`${baseUrl}/v1/services/tickets/tickets/1`, {
      method,
      headers: { authorization: `Bearer ${API_KEY}` },
      ...(method === 'POST' ? { body } : {}),
    }),
  );
