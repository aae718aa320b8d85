import { spawn } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { setTimeout as sleep } from 'node:timers/promises';
import { ask } from './ask.mjs';
import { listen } from './log.mjs';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));

const READY_LIMIT_MS = 20_000;

export const findPort = async () => {
  const server = createServer();
  const address = await listen(server);
  await new Promise((resolve) => {
    server.close(resolve);
  });
  return address;
};

/** One daemon, started as the deploy file says. */
export class Daemon {
  constructor(site, name, zone, logAddress, ports) {
    [this.callers, this.readiness, this.directory, this.mesh, this.metrics] = ports;
    Object.assign(this, { site, name, zone, logAddress });
    this.settingsPath = join(site.folder, `${name}.json`);
  }

  async start() {
    await writeFile(this.settingsPath, JSON.stringify(this.#buildSettings()));
    const deployFile = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
    const [program, ...args] = /^run = "(.*)"$/m.exec(deployFile)[1].split(' ');
    const { PATH, HOME, LANG } = process.env;
    this.output = '';
    this.child = spawn(program, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH, HOME, LANG, GOLDCRESTSCALE_NODE_FILE: this.settingsPath },
    });
    [this.child.stdout, this.child.stderr].forEach((stream) =>
      stream.on('data', (chunk) => {
        this.output += chunk;
      }),
    );
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => resolve({ code, signal }));
    });
  }

  async waitUntilReady() {
    const limitMs = performance.now() + READY_LIMIT_MS;
    for (;;) {
      const { status } = await ask(this.readiness, { path: '/readiness', limitMs: 1_000 });
      if (status === 200) return;
      if (performance.now() > limitMs) throw new Error(`${this.name} isn't ready: ${this.output}`);
      await sleep(50);
    }
  }

  signal(name) {
    this.site.note('signal', { to: this.name, name });
    this.child.kill(name);
  }

  #buildSettings() {
    const { callers, readiness, directory, mesh, metrics } = this;
    return {
      vmId: this.name,
      availabilityZone: this.zone,
      zones: Object.fromEntries(['whk-a', 'whk-b', 'whk-c'].map((zone) => [zone, 'windhoek'])),
      firstStart: true,
      machine: {
        cores: 1,
        coreShare: 0.675,
        linkMbps: 1_000,
        memoryMb: 200,
        fileDescriptors: 4_100,
      },
      listen: { callers, readiness, mesh, directory, metrics },
      log: { address: this.logAddress, leaseMs: 3_000 },
      bounds: {
        shutdownSeconds: 8,
        retryRatio: 0.2,
        retryAllowance: 54,
        retryWindowSeconds: 10,
        coldOverrun: 1.5,
        coldSlack: 5,
        weightsInForceMs: 10_000,
        directoryTtlSeconds: 5,
      },
    };
  }
}
