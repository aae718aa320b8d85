import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';
// The entry package does not export its test harness.
// eslint-disable-next-line import-x/no-relative-packages
import { startHarness } from '../packages/entry/src/__tests__/entryHarness.js';
// eslint-disable-next-line import-x/no-relative-packages
import { BOOT_ID } from '../packages/entry/src/__tests__/fakeUpstream.js';
import type { Benchmark, Measurement } from './measurement.js';

const REQUESTS_PER_ROUND = 150;
const CONCURRENCY = 16;
const ROUNDS = 3;
const SHORT_TOKENS = 1;
const LONG_TOKENS = 257;

const listen = async (server: Server): Promise<string> => {
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return `127.0.0.1:${(server.address() as AddressInfo).port}`;
};

const event = `data: ${JSON.stringify({
  id: 'cmpl-1',
  object: 'text_completion',
  model: 'small',
  choices: [{ index: 0, text: ' 1abcde', finish_reason: null }],
})}\n\n`;

/** Simulated engine that streams `max_tokens` tokens, with one write per token. */
const createEngine = (): Server =>
  createServer((incoming, response) => {
    if (incoming.url === '/load') {
      response.end(JSON.stringify({ bootId: BOOT_ID }));
      return;
    }
    let text = '';
    incoming.on('data', (chunk: Buffer) => {
      text += chunk.toString();
    });
    incoming.on('end', () => {
      const { max_tokens: tokens } = JSON.parse(text) as { max_tokens: number };
      response.writeHead(200, {
        'content-type': 'text/event-stream',
        'x-attempt-id': String(incoming.headers['x-attempt-id']),
        'x-weight-version': 'v1',
      });
      let sent = 0;
      const sendNext = (): void => {
        if (sent === tokens) {
          response.end('data: [DONE]\n\n');
          return;
        }
        response.write(event);
        sent += 1;
        setImmediate(sendNext);
      };
      sendNext();
    });
  });

/** Baseline: a plain reverse proxy with the same HTTP libraries as the entry. */
const createPassThrough = (address: string, agent: Agent): Server =>
  createServer((incoming, response) => {
    void (async () => {
      const chunks: Buffer[] = [];
      for await (const chunk of incoming) chunks.push(chunk as Buffer);
      const answer = await request(`http://${address}${incoming.url}`, {
        dispatcher: agent,
        method: 'POST',
        headers: { 'content-type': 'application/json' },
        body: Buffer.concat(chunks),
      });
      response.writeHead(answer.statusCode, { 'content-type': 'text/event-stream' });
      for await (const chunk of answer.body) response.write(chunk as Buffer);
      response.end();
    })();
  });

interface RoundResult {
  /** CPU time of the whole process per request, including client and engine. */
  readonly cpuUsPerRequest: number;
  readonly firstTokenP50Ms: number;
}

const sendRequest = async (baseUrl: string, agent: Agent, tokens: number): Promise<number> => {
  const startedAtMs = performance.now();
  const answer = await request(`${baseUrl}/v1/completions`, {
    dispatcher: agent,
    method: 'POST',
    headers: { 'content-type': 'application/json', authorization: 'Bearer key-1' },
    body: JSON.stringify({
      model: 'small',
      prompt: 'hello '.repeat(200),
      stream: true,
      max_tokens: tokens,
    }),
  });
  let firstTokenMs: number | undefined;
  for await (const chunk of answer.body) {
    void chunk;
    firstTokenMs ??= performance.now() - startedAtMs;
  }
  if (answer.statusCode !== 200) throw new Error(`status ${answer.statusCode}`);
  return firstTokenMs ?? NaN;
};

const measureRound = async (
  baseUrl: string,
  agent: Agent,
  tokens: number,
): Promise<RoundResult> => {
  const before = process.cpuUsage();
  const firstTokenTimesMs: number[] = [];
  let remaining = REQUESTS_PER_ROUND;
  const runNext = async (): Promise<void> => {
    while (remaining > 0) {
      remaining -= 1;
      firstTokenTimesMs.push(await sendRequest(baseUrl, agent, tokens));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, runNext));
  const { user, system } = process.cpuUsage(before);
  firstTokenTimesMs.sort((left, right) => left - right);
  return {
    cpuUsPerRequest: (user + system) / REQUESTS_PER_ROUND,
    firstTokenP50Ms: firstTokenTimesMs[Math.floor(firstTokenTimesMs.length / 2)] ?? NaN,
  };
};

const computeMedian = (values: readonly number[]): number =>
  values.toSorted((left, right) => left - right)[Math.floor(values.length / 2)] ?? NaN;

interface PathCosts {
  readonly cpuUsPerRequest: number;
  readonly cpuUsPerToken: number;
  readonly firstTokenP50Ms: number;
}

const computePathCosts = (
  shortAnswers: readonly RoundResult[],
  longAnswers: readonly RoundResult[],
): PathCosts => {
  const cpuUsPerRequest = computeMedian(shortAnswers.map((round) => round.cpuUsPerRequest));
  const longRequestUs = computeMedian(longAnswers.map((round) => round.cpuUsPerRequest));
  return {
    cpuUsPerRequest,
    cpuUsPerToken: (longRequestUs - cpuUsPerRequest) / (LONG_TOKENS - SHORT_TOKENS),
    firstTokenP50Ms: computeMedian(shortAnswers.map((round) => round.firstTokenP50Ms)),
  };
};

const createMeasurements = (
  direct: PathCosts,
  passThrough: PathCosts,
  entry: PathCosts,
): readonly Measurement[] => [
  {
    name: 'dataPath: CPU time per request, excluding engine and client (us)',
    baseline: passThrough.cpuUsPerRequest - direct.cpuUsPerRequest,
    measured: entry.cpuUsPerRequest - direct.cpuUsPerRequest,
  },
  {
    name: 'dataPath: CPU time per token, excluding engine and client (us)',
    baseline: passThrough.cpuUsPerToken - direct.cpuUsPerToken,
    measured: entry.cpuUsPerToken - direct.cpuUsPerToken,
  },
  {
    name: 'dataPath: ttft p50 (ms)',
    baseline: passThrough.firstTokenP50Ms,
    measured: entry.firstTokenP50Ms,
  },
];

const run = async (): Promise<readonly Measurement[]> => {
  const engine = createEngine();
  const address = await listen(engine);
  const agent = new Agent({ connections: CONCURRENCY });
  const passThrough = createPassThrough(address, agent);
  const harness = await startHarness({ upstreams: [address] });
  const urls = [`http://${address}`, `http://${await listen(passThrough)}`, harness.baseUrl];
  const rounds = urls.map(() => ({
    shortAnswers: [] as RoundResult[],
    longAnswers: [] as RoundResult[],
  }));
  // Rounds alternate between the paths, so that a temporary load on the machine affects all of them.
  for (let round = 0; round <= ROUNDS; round += 1) {
    for (const [index, url] of urls.entries()) {
      const shortAnswers = await measureRound(url, agent, SHORT_TOKENS);
      const longAnswers = await measureRound(url, agent, LONG_TOKENS);
      // The first round is a warm-up.
      if (round > 0) {
        rounds[index]!.shortAnswers.push(shortAnswers);
        rounds[index]!.longAnswers.push(longAnswers);
      }
    }
  }
  await harness.close();
  await agent.close();
  [engine, passThrough].forEach((server) => server.close());
  const [direct, proxied, entry] = rounds.map(({ shortAnswers, longAnswers }) =>
    computePathCosts(shortAnswers, longAnswers),
  );
  return createMeasurements(direct!, proxied!, entry!);
};

const benchmark: Benchmark = { name: 'data path compared with a plain proxy', run };

export default benchmark;
