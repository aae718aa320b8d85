/** A store of KV cache restarts, and the VMs that follow others learn of it late. */
import { setTimeout as sleep } from 'node:timers/promises';
import { Engine } from '../stand-ins/engine.mjs';
import { Log } from '../stand-ins/log.mjs';
import { HOST, LIMITS, buildRoute, keepRegistered } from '../stand-ins/records.mjs';
import { Site, ask, hasTrouble } from '../stand-ins/site.mjs';
import { Store } from '../stand-ins/store.mjs';

const MODEL = 'daka510000';
const ZONES = ['whk-a', 'whk-a', 'whk-b', 'whk-b', 'whk-c'];
const ENGINE_ZONES = ['whk-a', 'whk-b', 'whk-c', 'whk-a'];
const CAPACITY_TOKENS = 115_242;
const BYTES_PER_TOKEN = 18_432;
const STORE = { linkMbps: 34_000, firstMs: 6, capacityTokens: 1_114_708 };
const SESSIONS = 12;
const SESSION_TOKENS = 8_610;
const SYSTEM_TOKENS = 512;
const PROMPT_TOKENS = 11_992;
/** Tokens of the session's part in the prompts of the stream. */
const STREAM_SESSION_TOKENS = 2_000;
/** Restarts that are tried, a quarter of a minute apart: the first that shows the fault is the last. */
const ROUNDS = 5;
/** Time in which the stream of other prompts pushes the sessions out of the engines' memory. */
const DROP_MS = 7_000;
/** Time for which the store is down. */
const DOWN_MS = 200;
/** Time between two prompts of new sessions. */
const STREAM_INTERVAL_MS = 100;

const buildConfig = (storeAddress) => ({
  version: 3,
  routes: [
    buildRoute('scan-review', {
      kind: 'streaming',
      service: 'fit-llm',
      timeout_ms: 12_000,
      target_latency_ms: 1_000,
      gap_target_ms: 400,
      sticky: true,
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
        kv_capacity_tokens: CAPACITY_TOKENS,
        kv_token_bytes: BYTES_PER_TOKEN,
        link_mbps: 550_000,
        managed: true,
        models: [{ name: MODEL }],
      },
    },
    {
      name: 'notes-cache',
      kv_store_address: storeAddress,
      zone: 'whk-b',
      kv_capacity_tokens: STORE.capacityTokens,
      link_mbps: STORE.linkMbps,
      first_ms: STORE.firstMs,
      max_concurrent: 12,
      managed: true,
    },
  ],
  limits: LIMITS,
  tenants: [],
});

const formatSession = (session) => (0xd0000 + session).toString(16);

let requestCount = 0;

/** Sends a prompt: a part that all share, one of its session, and its own. */
const sendPrompt = async (site, daemon, { session, sessionTokens = SESSION_TOKENS }) => {
  requestCount += 1;
  const id = `p-${requestCount}`;
  const own = (0xabc0000 + requestCount).toString(16);
  const ownTokens = PROMPT_TOKENS - SYSTEM_TOKENS - sessionTokens;
  const { status, tookMs } = await ask(daemon.callers, {
    method: 'POST',
    path: '/scan-review/2f',
    headers: {
      host: HOST,
      'x-goldcrestscale-attempt-id': id,
      'x-goldcrestscale-model': MODEL,
      'x-goldcrestscale-token-usage': `${PROMPT_TOKENS},55`,
      'x-goldcrestscale-prompt-prefix': [
        `5c1e07a2:${SYSTEM_TOKENS}`,
        `${formatSession(session)}:${sessionTokens}`,
        `${own}:${ownTokens}`,
      ].join(','),
      'x-goldcrestscale-deadline-milliseconds': '12000',
    },
    body: 'a scan',
  });
  site.note('answered', { id, session, daemon: daemon.name, status, tookMs });
};

const startAll = async (site) => {
  const log = new Log();
  const store = Object.assign(new Store({ ...STORE, bytesPerToken: BYTES_PER_TOKEN }), {
    zone: 'whk-b',
  });
  const storeAddress = await store.open();
  const fetches = [];
  const engines = ENGINE_ZONES.map(
    (zone, index) =>
      new Engine(
        {
          id: `i-e${index}`,
          zone,
          model: MODEL,
          capacityTokens: CAPACITY_TOKENS,
          prefillTokensPerMs: 56.9,
          stores: new Map([[storeAddress, store]]),
        },
        (what, fields) => {
          if (what !== 'fetch') return;
          fetches.push(fields);
          site.note(what, fields);
        },
      ),
  );
  log.append('keyed.op', 'config', buildConfig(storeAddress));
  for (const engine of engines) {
    keepRegistered(log, engine.options.id, {
      service: 'fit-llm',
      address: await engine.open(),
      zone: engine.options.zone,
      slots: 64,
      models: [{ name: MODEL, version: 1, adapters: [] }],
    });
  }
  const logAddress = await log.open();
  const daemons = await Promise.all(
    ZONES.map((zone, index) => site.startDaemon(`frontend-${zone}-${index}`, zone, logAddress)),
  );
  return { log, store, engines, daemons, fetches };
};

/** Has the sessions of a round asked once, and waits until the engines have dropped them. */
const warmUp = async (site, { daemons, engines, store }, sessions) => {
  for (const session of sessions) {
    await sendPrompt(site, daemons[session % daemons.length], { session });
  }
  await sleep(DROP_MS);
  const salt = `${MODEL}~1`;
  const ids = sessions.map(formatSession);
  site.note('before', {
    whole: ids.filter((id) => store.findState(`${salt}/${id}`) === 'whole').length,
    keptByEngines: ids.filter((id) => engines.some((engine) => engine.keeps(salt, id))).length,
  });
};

/** Sends prompts of new sessions in an even stream, whose parts are saved, until it is stopped. */
const startStream = (site, daemons) => {
  const answers = [];
  const timer = setInterval(() => {
    answers.push(
      sendPrompt(site, daemons[answers.length % daemons.length], {
        session: 1_000 + answers.length,
        sessionTokens: STREAM_SESSION_TOKENS,
      }),
    );
  }, STREAM_INTERVAL_MS);
  return async () => {
    clearInterval(timer);
    await Promise.all(answers);
  };
};

/** Lets each session return, to all daemons within a tenth of a second. */
const sendReturns = async (site, daemons, sessions) => {
  const returns = [];
  for (const session of sessions) {
    for (let step = 0; step < daemons.length; step += 1) {
      returns.push(sendPrompt(site, daemons[(session + step) % daemons.length], { session }));
      await sleep(12);
    }
  }
  await Promise.all(returns);
};

const restart = async (site, store) => {
  site.note('the store ends');
  store.crash();
  await sleep(DOWN_MS);
  await store.restart();
  site.note('the store is back, empty');
};

/** The fetches that began and ended before the part was whole, and were used. */
const findPartial = (fetches) =>
  fetches.filter(
    ({ before, after, isThrownAway }) =>
      before === 'partial' && after === 'partial' && !isThrownAway,
  );

await new Site(import.meta.url).run(async (site) => {
  const state = await startAll(site);
  const { daemons, store, engines, log, fetches } = state;
  // All know of each other after a few heartbeats, and follow two of them.
  await sleep(6_000);
  const stopStream = startStream(site, daemons);
  for (let round = 0; round < ROUNDS; round += 1) {
    const sessions = Array.from({ length: SESSIONS }, (_value, index) => round * SESSIONS + index);
    await warmUp(site, state, sessions);
    if (hasTrouble) await restart(site, store);
    await sendReturns(site, daemons, sessions);
    if (findPartial(fetches).length > 0) break;
  }
  await stopStream();
  await sleep(500);
  engines.forEach((engine) => engine.close());
  store.close();
  log.close();
  const partial = findPartial(fetches);
  partial.forEach((fields) => site.note('MIXED', fields));
  return partial.length > 0;
});
