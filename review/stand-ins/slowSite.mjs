/** Two daemons, two model servers and a plain server, whose answers end with their channels. */
import { setTimeout as sleep } from 'node:timers/promises';
import { ask } from './ask.mjs';
import { Log } from './log.mjs';
import { HOST, LIMITS, buildRoute, keepRegistered } from './records.mjs';
import { UnframedService } from './service.mjs';

const MODEL = 'daka510000';

const PREFILL_TOKENS_PER_MS = 56.9;

/** Time in which the daemons learn of each other. */
const MEET_MS = 4_000;

const buildStreamRoute = (name, rest) =>
  buildRoute(name, {
    kind: 'streaming',
    service: 'fit-llm',
    gap_target_ms: 400,
    sticky: true,
    ...rest,
  });

const CONFIG = {
  version: 3,
  routes: [
    buildStreamRoute('scan-review', { timeout_ms: 12_000, target_latency_ms: 1_000 }),
    buildStreamRoute('fit-advice', { timeout_ms: 10_000, target_latency_ms: 400, priority: 1 }),
    buildRoute('deposit-book', {
      kind: 'unsafe',
      service: 'shop-app',
      timeout_ms: 1_500,
      target_latency_ms: 386,
    }),
  ],
  services: [
    {
      name: 'fit-llm',
      health_check_path: '/health',
      connection_limit: 360,
      cold_start_s: 3,
      cold_per_s: 10,
      engine: {
        slots: 64,
        kv_capacity_tokens: 115_242,
        kv_token_bytes: 18_432,
        link_mbps: 550_000,
        managed: true,
        models: [{ name: MODEL }],
      },
    },
    { name: 'shop-app', health_check_path: '/health', connection_limit: 100 },
  ],
  limits: LIMITS,
  tenants: [],
};

/** Tokens of the prompts, which a model server's memory holds, and the time limits of the sheet. */
const PROMPTS = {
  'scan-review': { tokens: 75_000, deadlineMs: 12_000 },
  'fit-advice': { tokens: 827, deadlineMs: 10_000 },
};

const buildPromptHeaders = (route, index) => {
  const { tokens } = PROMPTS[route];
  const part = (index * 65_536 + tokens).toString(16);
  return {
    'x-goldcrestscale-model': MODEL,
    'x-goldcrestscale-token-usage': `${tokens},55`,
    'x-goldcrestscale-prompt-prefix': `5c1e07a2:512,${part}a:${tokens - 640},${part}b:128`,
  };
};

export class SlowSite {
  #requestCount = 0;

  /** @param getPauseMs returns the pause after an event of a stream */
  constructor(site, { events, getPauseMs }) {
    this.site = site;
    const engineOptions = { pieces: events, getPauseMs, prefillTokensPerMs: PREFILL_TOKENS_PER_MS };
    this.engines = ['i-e1', 'i-e2'].map((id) => new UnframedService(id, engineOptions));
    this.shop = new UnframedService('i-s1', { pieces: 10, getPauseMs: () => 110 });
    this.log = new Log();
  }

  async start() {
    const { site, log, engines, shop } = this;
    log.append('keyed.op', 'config', CONFIG);
    for (const engine of engines) {
      const models = [{ name: MODEL, version: 1, adapters: [] }];
      const address = await engine.open();
      const entry = { service: 'fit-llm', address, zone: 'whk-b', slots: 64, models };
      keepRegistered(log, engine.id, entry);
    }
    const shopAddress = await shop.open();
    const entry = { service: 'shop-app', address: shopAddress, zone: 'whk-b', slots: 6 };
    keepRegistered(log, shop.id, entry);
    const logAddress = await log.open();
    this.asker = await site.startDaemon('frontend-whk-a-1', 'whk-a', logAddress);
    this.helper = await site.startDaemon('frontend-whk-c-1', 'whk-c', logAddress);
    await sleep(MEET_MS);
  }

  close() {
    this.engines.forEach((engine) => engine.close());
    this.shop.close();
    this.log.close();
  }

  /** Sends requests at the same time. @returns their ids and answers */
  sendAll(daemon, route, count) {
    return Promise.all(
      Array.from({ length: count }, async () => {
        this.#requestCount += 1;
        const id = `${route}-${this.#requestCount}`;
        const isPrompt = route in PROMPTS;
        this.site.note('sent', { id, to: daemon.name });
        const answer = await ask(daemon.callers, {
          method: 'POST',
          path: `/${route}/2f`,
          headers: {
            host: HOST,
            'x-goldcrestscale-attempt-id': id,
            'x-goldcrestscale-deadline-milliseconds': String(PROMPTS[route]?.deadlineMs ?? 3_000),
            ...(isPrompt ? buildPromptHeaders(route, this.#requestCount) : {}),
          },
          body: 'a request',
        });
        return { id, answer };
      }),
    );
  }

  /** Notes all answers. @returns whether a success isn't the server's whole body */
  check(rule, results) {
    let isBroken = false;
    results.forEach(({ id, answer }) => {
      const run = [...this.engines, this.shop].map(({ runs }) => runs.get(id)).find(Boolean);
      const { count: runs = 0, body: whole = '' } = run ?? {};
      const { status, isComplete, tookMs, headers, body = '' } = answer;
      const isSigned = headers?.['x-goldcrestscale-response-signature'] !== undefined;
      const isCut = status === 200 && isSigned && isComplete && body.toString() !== whole;
      isBroken ||= isCut;
      const sizes = { bytes: body.length, wholeBytes: whole.length };
      this.site.note(isCut ? rule : 'answered', {
        id,
        status,
        isSigned,
        isComplete,
        ...sizes,
        runs,
        tookMs,
      });
    });
    return isBroken;
  }
}
