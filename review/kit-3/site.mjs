import { mkdtemp, rm } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { Daemon } from './daemon.mjs';
import { Guard } from './guard.mjs';
import { Server } from './server.mjs';
import { Store } from './store.mjs';

export const HOST = 'pule25.example';
export const API_KEY = 'jnbanfqasnmgkcuyj8pj';
const ZONES = ['zone-a', 'zone-b', 'zone-c'];
const REGIONS = Object.fromEntries(ZONES.map((zone) => [zone, 'region-1']));

const buildRoute = (name, pathPrefix, kind, service, rest = {}) => ({
  name,
  host: HOST,
  path_prefix: pathPrefix,
  kind,
  timeout_ms: 2_500,
  target_latency_ms: 150,
  priority: 1,
  service,
  attempts: kind === 'unsafe' ? 1 : 2,
  anonymous: false,
  sticky: false,
  resumable: false,
  ...rest,
});

/** Settings of the routes that carry prompts. */
const PROMPT_ROUTE = {
  timeout_ms: 12_000,
  target_latency_ms: 1_000,
  gap_target_ms: 400,
  sticky: true,
};

export const MODEL = 'daka510000';

const ENGINE = {
  slots: 64,
  kv_capacity_tokens: 115_242,
  kv_token_bytes: 18_432,
  link_mbps: 550_000,
  max_concurrent: 12,
  models: [{ name: MODEL }],
};

const buildService = (name, rest = {}) => ({
  name,
  health_check_path: '/health',
  connection_limit: 110,
  cold_start_s: 0,
  cold_per_s: 0,
  ...rest,
});

/** A configuration with bookings, which may run once, look-ups, and prompts. */
export const buildConfig = ({ version = 1, service = 'shop-app', keys = [API_KEY] } = {}) => ({
  version,
  routes: [
    buildRoute('r-book', '/book/', 'unsafe', service),
    buildRoute('r-read', '/read/', 'safe', service),
    buildRoute('r-scan', '/scan/', 'streaming', 'fit-llm', PROMPT_ROUTE),
  ],
  services: [
    buildService(service),
    buildService('fit-llm', { connection_limit: 360, engine: ENGINE }),
  ],
  limits: {
    header_bytes: 16_384,
    body_bytes: 4_194_304,
    header_timeout_ms: 3_000,
    idle_timeout_ms: 15_000,
  },
  tenants: [{ name: 'bozi300', api_keys: keys, priority: 1 }],
});

/** A small deployment: a store, servers of one service and daemons. */
export class Site {
  servers = [];

  daemons = [];

  store = new Store();

  guard = new Guard();

  constructor(recorder) {
    this.recorder = recorder;
  }

  async start({ daemonCount = 3, serverOptions = [{}, {}, {}], config = buildConfig() }) {
    this.config = config;
    this.folder = await mkdtemp(join(tmpdir(), 'goldcrest-review-'));
    this.store.write('keyed.op', 'config', config);
    for (const [index, options] of serverOptions.entries()) {
      await this.addServer({ id: `i-${index + 1}`, zone: ZONES[index % ZONES.length], ...options });
    }
    for (let index = 0; index < daemonCount; index += 1) await this.addDaemon(index);
    await Promise.all(this.daemons.map((daemon) => daemon.start()));
    this.recorder.note(`${daemonCount} daemons are ready, ${this.servers.length} servers serve`);
  }

  async addServer(options) {
    const server = new Server({ service: 'shop-app', ...options });
    await server.start();
    server.register(this.store);
    this.servers.push(server);
    return server;
  }

  async addDaemon(index) {
    const name = `frontend-${index + 1}`;
    const daemon = new Daemon({
      name,
      zone: ZONES[index % ZONES.length],
      zones: REGIONS,
      storeAddress: await this.store.open(name),
      folder: this.folder,
      guard: this.guard,
    });
    this.daemons.push(daemon);
  }

  /** Ends all processes that it started. */
  async stop() {
    await Promise.all(this.daemons.map((daemon) => daemon.kill()));
    this.servers.forEach((server) => server.end());
    this.store.close();
    this.guard.close();
    if (this.folder) await rm(this.folder, { recursive: true, force: true });
  }
}
