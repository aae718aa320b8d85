import { spawn } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { waitUntil } from './recorder.mjs';

const LOOPBACK = '127.0.0.1';
const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const READY_LIMIT_MS = 20_000;

/** Finds free ports; they stay reserved until all are found. */
const findFreePorts = async (count) => {
  const servers = await Promise.all(
    Array.from(
      { length: count },
      () =>
        new Promise((resolve) => {
          const server = createServer();
          server.listen(0, LOOPBACK, () => resolve(server));
        }),
    ),
  );
  const ports = servers.map((server) => server.address().port);
  await Promise.all(
    servers.map(
      (server) =>
        new Promise((resolve) => {
          server.close(resolve);
        }),
    ),
  );
  return ports;
};

/** Reads program and arguments from the deploy file. */
const readCommand = async () => {
  const deployFile = await readFile(join(ROOT, 'deploy/system.toml'), 'utf8');
  return /^run = "([^"]*)"$/m.exec(deployFile)[1].split(' ');
};

/** The system's daemon on one machine. */
export class Daemon {
  output = '';

  end = undefined;

  constructor({ name, zone, zones, storeAddress, folder, guard, memoryMb = 200 }) {
    Object.assign(this, { name, zone, zones, storeAddress, folder, guard, memoryMb });
    this.isFirstStart = true;
  }

  async start() {
    const names = ['callers', 'readiness', 'mesh', 'directory', 'metrics'];
    const ports = await findFreePorts(names.length);
    const listen = names.map((name, index) => [name, `${LOOPBACK}:${ports[index]}`]);
    this.listen = Object.fromEntries(listen);
    await this.launch();
    await this.waitUntilReady();
  }

  async launch() {
    const settingsPath = join(this.folder, `${this.name}.json`);
    await writeFile(settingsPath, JSON.stringify(this.buildSettings()));
    const [, ...args] = await readCommand();
    // Only the first start of all is one of the whole system.
    this.isFirstStart = false;
    this.end = undefined;
    this.output = '';
    this.child = spawn(process.execPath, args, {
      cwd: ROOT,
      stdio: ['ignore', 'pipe', 'pipe'],
      env: { PATH: process.env.PATH, GOLDCRESTSCALE_NODE_FILE: settingsPath },
    });
    const { pid } = this.child;
    this.guard.watch(pid);
    [this.child.stdout, this.child.stderr].forEach((stream) =>
      stream.on('data', (chunk) => {
        this.output += chunk;
      }),
    );
    this.exited = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.end = { code, signal };
        this.guard.forget(pid);
        resolve();
      });
    });
  }

  buildSettings() {
    return {
      vmId: this.name,
      availabilityZone: this.zone,
      zones: this.zones,
      firstStart: this.isFirstStart,
      machine: {
        cores: 1,
        coreShare: 0.675,
        linkMbps: 1_000,
        memoryMb: this.memoryMb,
        fileDescriptors: 4_100,
      },
      listen: this.listen,
      log: { address: this.storeAddress, leaseMs: 3_000 },
      bounds: {
        shutdownSeconds: 8,
        retryRatio: 0.2,
        retryAllowance: 58,
        retryWindowSeconds: 10,
        coldOverrun: 1.5,
        coldSlack: 5,
        weightsInForceMs: 10_000,
        directoryTtlSeconds: 5,
      },
    };
  }

  /** Asks for its readiness. @returns the status, or 0 without an answer */
  askReadiness() {
    return new Promise((resolve) => {
      const request = get(
        `http://${this.listen.readiness}/readiness`,
        { agent: false },
        (response) => {
          response.resume();
          resolve(response.statusCode);
        },
      );
      request.setTimeout(1_000, () => request.destroy());
      request.on('error', () => resolve(0));
    });
  }

  waitUntilReady() {
    return waitUntil(`${this.name} is ready`, READY_LIMIT_MS, async () => {
      if (this.end) throw new Error(`${this.name} ended: ${this.output.slice(-2_000)}`);
      return (await this.askReadiness()) === 200;
    });
  }

  /** Reads the peak of the resident memory; undefined once the process has ended. */
  async readPeakMb() {
    const status = await readFile(`/proc/${this.child.pid}/status`, 'utf8').catch(() => '');
    const peak = /VmHWM:\s+(\d+)/.exec(status)?.[1];
    return peak === undefined ? undefined : Number(peak) / 1_024;
  }

  signal(name) {
    if (!this.end) this.child.kill(name);
  }

  async kill() {
    if (!this.child || this.end) return;
    this.child.kill('SIGKILL');
    await this.exited;
  }
}
