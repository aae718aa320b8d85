/** A store of KV cache restarts while the VM stands still that tells the others what the store holds. */
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
const OWN_TOKENS = 2_870;
const FILLERS = 72;
/** Time for which the store is down. */
const DOWN_MS = 200;
/** Time for which the VM stands still. */
const FREEZE_MS = 3_300;
/** Time after the end of the store until the prompts return. */
const RETURN_MS = 1_150;

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

let requestCount = 0;

/** Sends a prompt: a part that all share, one of a session or of nobody else, and its own. */
const sendPrompt = async (site, daemon, session) => {
  requestCount += 1;
  const id = `p-${requestCount}`;
  const own = (0xabc0000 + requestCount).toString(16);
  const shared =
    session === undefined ? '' : `${(0xd0000 + session).toString(16)}:${SESSION_TOKENS},`;
  const ownTokens = session === undefined ? SESSION_TOKENS + OWN_TOKENS : OWN_TOKENS;
  const answer = await ask(daemon.callers, {
    method: 'POST',
    path: '/scan-review/2f',
    headers: {
      host: HOST,
      'x-goldcrestscale-attempt-id': id,
      'x-goldcrestscale-model': MODEL,
      'x-goldcrestscale-token-usage': `${512 + SESSION_TOKENS + OWN_TOKENS},55`,
      'x-goldcrestscale-prompt-prefix': `5c1e07a2:512,${shared}${own}:${ownTokens}`,
      'x-goldcrestscale-deadline-milliseconds': '12000',
    },
    body: 'a scan',
  });
  const { status, tookMs } = answer;
  site.note('answered', { id, session, daemon: daemon.name, status, tookMs });
  return answer;
};

const readFollowers = async (daemon) => {
  const { body } = await ask(daemon.metrics, { path: '/metrics' });
  return Number(/followers(?:\{[^}]*\})? (\d+)/.exec(body?.toString() ?? '')?.[1] ?? 0);
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

/** Lets every session be asked once, and then so many other prompts that the engines drop it. */
const warmUp = async (site, { daemons, engines, store }) => {
  for (let session = 0; session < SESSIONS; session += 1) {
    await sendPrompt(site, daemons[session % daemons.length], session);
  }
  const fillers = [];
  for (let index = 0; index < FILLERS; index += 1) {
    fillers.push(sendPrompt(site, daemons[index % daemons.length], undefined));
    await sleep(60);
  }
  await Promise.all(fillers);
  await sleep(1_500);
  const ids = Array.from({ length: SESSIONS }, (_value, session) =>
    (0xd0000 + session).toString(16),
  );
  const salt = `${MODEL}~1`;
  site.note('before', {
    whole: ids.filter((id) => store.findState(`${salt}/${id}`) === 'whole').length,
    keptByEngines: ids.filter((id) => engines.some((engine) => engine.keeps(salt, id))).length,
  });
};

await new Site(import.meta.url).run(async (site) => {
  const state = await startAll(site);
  const { daemons, store, engines, log, fetches } = state;
  // All know of each other after a few heartbeats, and follow one of them.
  await sleep(6_000);
  await warmUp(site, state);
  const followers = await Promise.all(daemons.map(readFollowers));
  const relay = daemons[followers.indexOf(Math.max(...followers))];
  site.note('followers', { followers, relay: relay.name });
  const others = daemons.filter((daemon) => daemon !== relay);
  if (hasTrouble) {
    relay.signal('SIGSTOP');
    setTimeout(() => relay.signal('SIGCONT'), FREEZE_MS);
    await sleep(100);
    site.note('the store ends');
    store.crash();
    await sleep(DOWN_MS);
    await store.restart();
    site.note('the store is back, empty');
    await sleep(RETURN_MS - DOWN_MS);
  }
  // Each session returns, to several VMs within a tenth of a second.
  const returns = [];
  for (let session = 0; session < SESSIONS; session += 1) {
    for (let step = 0; step < others.length; step += 1) {
      returns.push(sendPrompt(site, others[(session + step) % others.length], session));
      await sleep(12);
    }
    await sleep(30);
  }
  await Promise.all(returns);
  await sleep(2_000);
  engines.forEach((engine) => engine.close());
  store.close();
  log.close();
  const partial = fetches.filter(
    ({ before, after, isThrownAway }) =>
      before === 'partial' && after === 'partial' && !isThrownAway,
  );
  partial.forEach((fields) => site.note('MIXED', fields));
  return partial.length > 0;
});
