import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { Agent, request } from 'undici';
import { startHarness } from '../packages/entry/src/__tests__/entryHarness.js';
import type { Benchmark, Measure } from './measure.js';

const REQUESTS_PER_ROUND = 300;
const CONCURRENCY = 16;
const ROUNDS = 4;
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

/** Engine that streams as many tokens as asked for, one write each. */
const createEngine = (): Server =>
  createServer((incoming, response) => {
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

/** Passes requests and answers through, with the same HTTP libraries and nothing else. */
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

interface Round {
  /** Processor time of the whole process a request, in microseconds. */
  readonly cpuUs: number;
  readonly firstTokenP50Ms: number;
}

const askOnce = async (baseUrl: string, agent: Agent, tokens: number): Promise<number> => {
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

const measureRound = async (baseUrl: string, agent: Agent, tokens: number): Promise<Round> => {
  const before = process.cpuUsage();
  const times: number[] = [];
  let left = REQUESTS_PER_ROUND;
  const work = async (): Promise<void> => {
    while (left > 0) {
      left -= 1;
      times.push(await askOnce(baseUrl, agent, tokens));
    }
  };
  await Promise.all(Array.from({ length: CONCURRENCY }, work));
  const { user, system } = process.cpuUsage(before);
  times.sort((one, other) => one - other);
  return {
    cpuUs: (user + system) / REQUESTS_PER_ROUND,
    firstTokenP50Ms: times[Math.floor(times.length / 2)] ?? NaN,
  };
};

const getMedian = (values: readonly number[]): number =>
  values.toSorted((one, other) => one - other)[Math.floor(values.length / 2)] ?? NaN;

interface Path {
  readonly requestUs: number;
  readonly tokenUs: number;
  readonly firstTokenP50Ms: number;
}

const summarize = (short: readonly Round[], long: readonly Round[]): Path => {
  const requestUs = getMedian(short.map((round) => round.cpuUs));
  const longUs = getMedian(long.map((round) => round.cpuUs));
  return {
    requestUs,
    tokenUs: (longUs - requestUs) / (LONG_TOKENS - SHORT_TOKENS),
    firstTokenP50Ms: getMedian(short.map((round) => round.firstTokenP50Ms)),
  };
};

const toMeasures = (direct: Path, passThrough: Path, entry: Path): readonly Measure[] => [
  {
    name: 'dataPath: processor time a request, beyond engine and client (us)',
    baseline: passThrough.requestUs - direct.requestUs,
    ours: entry.requestUs - direct.requestUs,
  },
  {
    name: 'dataPath: processor time a token, beyond engine and client (us)',
    baseline: passThrough.tokenUs - direct.tokenUs,
    ours: entry.tokenUs - direct.tokenUs,
  },
  {
    name: 'dataPath: ttft p50 (ms)',
    baseline: passThrough.firstTokenP50Ms,
    ours: entry.firstTokenP50Ms,
  },
];

const run = async (): Promise<readonly Measure[]> => {
  const engine = createEngine();
  const address = await listen(engine);
  const agent = new Agent({ connections: CONCURRENCY });
  const passThrough = createPassThrough(address, agent);
  const harness = await startHarness({ upstreams: [address] });
  const urls = [`http://${address}`, `http://${await listen(passThrough)}`, harness.baseUrl];
  const rounds = urls.map(() => ({ short: [] as Round[], long: [] as Round[] }));
  // Paths take turns, so that a busy moment of the machine falls on all of them.
  for (let round = 0; round <= ROUNDS; round += 1) {
    for (const [index, url] of urls.entries()) {
      const short = await measureRound(url, agent, SHORT_TOKENS);
      const long = await measureRound(url, agent, LONG_TOKENS);
      // The first round only warms up.
      if (round > 0) {
        rounds[index]!.short.push(short);
        rounds[index]!.long.push(long);
      }
    }
  }
  await harness.close();
  await agent.close();
  [engine, passThrough].forEach((server) => server.close());
  const [direct, passed, entry] = rounds.map(({ short, long }) => summarize(short, long));
  return toMeasures(direct!, passed!, entry!);
};

const benchmark: Benchmark = { name: 'data path beside a pass-through', run };

export default benchmark;
