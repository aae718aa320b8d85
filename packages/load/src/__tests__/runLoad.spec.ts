import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, expect, test } from 'vitest';
import { createLogger } from '@goldcrestscale/runtime';
import {
  compareReports,
  createEntryDirectory,
  formatComparison,
  formatReport,
  generateExpectedAnswer,
  generateRequests,
  loadToolSettingsSchema,
  reportSchema,
  runLoad,
} from '../index.js';

const servers: Server[] = [];
afterEach(() => {
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
});

type Handler = (request: IncomingMessage, response: ServerResponse, body: string) => void;

const startServer = async (handle: Handler): Promise<string> => {
  const server = createServer((request, response) => {
    const chunks: Buffer[] = [];
    request.on('data', (chunk: Buffer) => chunks.push(chunk));
    request.on('end', () => handle(request, response, Buffer.concat(chunks).toString()));
  });
  servers.push(server);
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const UNREACHABLE = '127.0.0.1:1';

/** Starts an entry VM that passes each call to a handler. */
const startEntry = async (handle: Handler, isListed = true): Promise<string> => {
  let ownAddress = '';
  ownAddress = await startServer((request, response, body) => {
    if (!request.url?.startsWith('/v1/entries')) {
      handle(request, response, body);
      return;
    }
    const addresses = isListed ? [UNREACHABLE, ownAddress] : [ownAddress];
    const entries = addresses.map((address) => ({ address, availabilityZone: 'z' }));
    response.end(JSON.stringify({ entries, ttlMs: 60_000 }));
  });
  return ownAddress;
};

interface CompletionBody {
  readonly messages: readonly { readonly content: string }[];
  readonly max_tokens: number;
}

const streamAnswer = (
  response: ServerResponse,
  body: string,
  change = (text: string) => text,
): void => {
  const { messages, max_tokens: tokens } = JSON.parse(body) as CompletionBody;
  const text = generateExpectedAnswer('1', `user: ${messages[0]?.content}`, tokens);
  const usage = { prompt_tokens: 100, prompt_tokens_details: { cached_tokens: 75 } };
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  text.match(/ \S+/g)?.forEach((token) => {
    const frame = { choices: [{ delta: { content: change(token) } }], usage };
    response.write(`data: ${JSON.stringify(frame)}\n\n`);
  });
};

const finishStream = (response: ServerResponse): void => {
  response.end('data: [DONE]\n\n');
};

const completion = {
  type: 'completion',
  name: 'notes',
  ratePerSecond: 60,
  model: 'm',
  weightVersions: ['0', '1'],
  promptTokens: { min: 10, max: 50 },
  answerTokens: 4,
  meanGapMs: 50,
};

const runAgainst = async (entry: string, workload: object, extra: object = {}) => {
  const settings = loadToolSettingsSchema.parse({
    entries: [entry],
    durationMs: 400,
    accounts: [{ id: 'a', key: { env: 'A' } }],
    workloads: [workload],
    windows: [{ name: 'late', fromMs: 200, toMs: 400 }],
    ...extra,
  });
  return runLoad({
    settings,
    apiKeys: new Map([['a', 'gck_a']]),
    requests: generateRequests(settings),
    logger: createLogger({ part: 'load', level: 'error', format: 'json' }),
    signal: new AbortController().signal,
  });
};

test('all requests succeed although one listed entry VM is unreachable', async () => {
  const entry = await startEntry((request, response, body) => {
    expect(request.headers.authorization).toBe('Bearer gck_a');
    streamAnswer(response, body);
    finishStream(response);
  });
  const report = await runAgainst(entry, completion);
  const [total, notes, late] = report.sections;
  expect(total?.sent).toBeGreaterThan(10);
  expect(total).toMatchObject({
    outcomes: { whole: total?.sent },
    attempts: { unreachable: total?.sent, whole: total?.sent },
    recomputedShare: 0.25,
  });
  expect(total?.tokenGap.count).toBe((total?.sent ?? 0) * 3);
  expect((total?.ttftFirst.count ?? 0) + (total?.ttftReturning.count ?? 0)).toBe(total?.sent);
  expect([notes?.name, notes?.sent]).toEqual(['notes', total?.sent]);
  expect(late?.sent).toBeLessThan(total?.sent ?? 0);
  expect(report.faults).toEqual([]);
  expect(reportSchema.parse(JSON.parse(JSON.stringify(report)))).toEqual(report);
  expect(formatReport(report)).toContain('verdict: good');
  expect(compareReports(report, report).every(({ ratio = 1 }) => ratio === 1)).toBe(true);
  expect(formatComparison(report, report)).toContain('recomputed share');
});

test.each([
  ['wrong text', (text: string) => `${text}x`, 'answers to another request'],
  ['no end marker', undefined, 'ended in silence'],
] as const)('%s is reported as a fault', async (_name, change, fault) => {
  const entry = await startEntry((_request, response, body) => {
    streamAnswer(response, body, change);
    if (change) finishStream(response);
    else response.end();
  });
  const report = await runAgainst(entry, completion, { maxRequests: 2, maxAttempts: 2 });
  expect(report.faults.join()).toContain(fault);
  expect(formatReport(report)).toContain('verdict: BAD');
});

test('Retry-After is honoured', async () => {
  const refusedAtMs = new Map<string, number>();
  const waitsMs: number[] = [];
  const entry = await startEntry((_request, response, body) => {
    const refused = refusedAtMs.get(body);
    if (refused === undefined) {
      refusedAtMs.set(body, performance.now());
      response.writeHead(429, { 'retry-after': '1' });
      response.end('{"error":{"code":"over_limit","verdict":"not-run","retry_after_ms":120}}');
      return;
    }
    waitsMs.push(performance.now() - refused);
    streamAnswer(response, body);
    finishStream(response);
  }, false);
  const report = await runAgainst(entry, completion, { maxRequests: 5 });
  expect(report.sections[0]).toMatchObject({ outcomes: { whole: 5 }, attempts: { refused: 5 } });
  expect(Math.min(...waitsMs)).toBeGreaterThan(100);
});

test('report counts the code and verdict of a final error', async () => {
  const entry = await startEntry((_request, response) => {
    response.writeHead(404);
    response.end('{"error":{"code":"unknown_model","verdict":"not-run"}}');
  }, false);
  const report = await runAgainst(entry, completion, { maxRequests: 3 });
  expect(report.sections[0]).toMatchObject({
    outcomes: { refused: 3 },
    refusals: { unknown_model: 3 },
    verdicts: { 'not-run': 3 },
  });
});

test('arrivals above the in-flight limit are not sent', async () => {
  const entry = await startEntry(() => {});
  const report = await runAgainst(entry, completion, { maxInFlight: 2, requestTimeoutMs: 500 });
  expect(report.sections[0]).toMatchObject({ sent: 2, outcomes: { failed: 2 } });
  expect(report.sections[0]?.notSent).toBe(report.planned - 2);
  expect(report.faults).toEqual(['2 requests without an answer']);
});

test('retries of a non-idempotent call reuse its key; the service counts its runs', async () => {
  const runs: Record<string, number> = {};
  const keys = new Map<string, Set<unknown>>();
  const entry = await startEntry((request, response, body) => {
    if (request.url === '/counts') {
      response.end(JSON.stringify({ runs }));
      return;
    }
    const { ref } = JSON.parse(body) as { ref: string };
    runs[ref] = (runs[ref] ?? 0) + 1;
    const seen = keys.get(ref) ?? new Set();
    keys.set(ref, seen.add(request.headers['idempotency-key']));
    // The first response to every call is lost, and this entry VM executes the retry again.
    if (runs[ref] === 1) request.socket.destroy();
    else response.end(JSON.stringify({ id: '1', echo: { ref } }));
  }, false);
  const ticket = {
    type: 'service',
    name: 'tickets',
    ratePerSecond: 50,
    service: 'yard',
    path: '/tickets',
    unrepeatable: true,
    countsUrls: [`http://${entry}/counts`],
  };
  const report = await runAgainst(entry, ticket, { maxRequests: 3 });
  expect(report.once).toMatchObject({ calls: 3, counted: true, lost: [], falseNotRun: [] });
  expect(report.once.doubled).toHaveLength(3);
  expect(report.faults).toEqual(['3 unrepeatable calls that ran more than once']);
  const uncounted = await runAgainst(entry, { ...ticket, countsUrls: [] }, { maxRequests: 3 });
  expect(uncounted.faults).toEqual(['3 unrepeatable calls that no service counted']);
  expect([...keys.values()].every((seen) => seen.size === 1 && !seen.has(undefined))).toBe(true);
});

test('directory caches a list for its TTL and falls back to it when no entry VM responds', async () => {
  let requestCount = 0;
  const address = await startServer((_request, response) => {
    requestCount += 1;
    const entries = [{ address: '127.0.0.1:9', availabilityZone: 'z' }];
    response.end(JSON.stringify({ entries, ttlMs: requestCount === 1 ? 60_000 : 0 }));
  });
  const { signal } = new AbortController();
  const directory = createEntryDirectory([UNREACHABLE, address]);
  expect(await directory.getAddresses('s', signal)).toEqual(['127.0.0.1:9']);
  await directory.getAddresses('s', signal);
  expect(requestCount).toBe(1);
  await directory.getAddresses('t', signal);
  servers.splice(0).forEach((server) => {
    server.closeAllConnections();
    server.close();
  });
  expect(await directory.getAddresses('t', signal)).toEqual(['127.0.0.1:9']);
});
