/** The daemon under review, started with the command of deploy/system.toml as a process of its own. */
import { spawn } from 'node:child_process';
import { readFile, writeFile } from 'node:fs/promises';
import { get } from 'node:http';
import { join } from 'node:path';
import { LOOPBACK, findPorts, readAll, waitUntil } from './net.mjs';

const readCommand = async () => {
  const line = /^run = "(.*)"$/m.exec(await readFile('deploy/system.toml', 'utf8'));
  return line[1].split(' ');
};

/** Asks for a path and returns the status and the body; status 0 if there is no answer. */
export const ask = (port, path, limitMs = 1_000) =>
  new Promise((resolve) => {
    const request = get(
      { host: LOOPBACK, port, path, agent: false, timeout: limitMs },
      (response) => {
        readAll(response).then(
          (body) => resolve({ status: response.statusCode, body: body.toString() }),
          () => resolve({ status: 0, body: '' }),
        );
      },
    );
    request.on('timeout', () => request.destroy());
    request.on('error', () => resolve({ status: 0, body: '' }));
  });

/** Puts the error output on one line, without the path of the project. */
const describeErrors = (errors) =>
  errors.trim().replaceAll(process.cwd(), '.').replaceAll('\n', ' | ');

/** Settings of a small deployment, with the fields and bounds of the pages' example. */
const buildSettings = ({ vmId, zone, ports, storeAddress, linkMbps }) => {
  const [callers, readiness, directory, mesh, metrics] = ports.map((port) => `${LOOPBACK}:${port}`);
  return {
    vmId,
    availabilityZone: zone,
    zones: { 'zone-a': 'region', 'zone-b': 'region', 'zone-c': 'region' },
    firstStart: false,
    machine: { cores: 1, coreShare: 0.675, linkMbps },
    listen: { callers, readiness, mesh, directory, metrics },
    log: { address: storeAddress, leaseMs: 3_000 },
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
};

/** Processes that still run; none outlives the script. */
const children = new Set();
const killChildren = () => children.forEach((child) => child.kill('SIGKILL'));
process.once('exit', killChildren);
['SIGINT', 'SIGTERM'].forEach((name) =>
  process.once(name, () => {
    killChildren();
    process.kill(process.pid, name);
  }),
);

export class Daemon {
  constructor({ vmId, zone, storeAddress, linkMbps = 1_000, folder, record }) {
    Object.assign(this, { vmId, zone, storeAddress, linkMbps, folder, record });
    this.exits = 0;
  }

  async prepare() {
    this.ports = await findPorts(5);
    [this.callerPort, this.readinessPort, this.directoryPort] = this.ports;
    this.settingsPath = join(this.folder, `${this.vmId}.json`);
    this.command = await readCommand();
    await writeFile(this.settingsPath, JSON.stringify(buildSettings(this)));
  }

  spawn() {
    const [program, ...args] = this.command;
    this.startedAt = performance.now();
    this.isRunning = true;
    const child = spawn(program, args, {
      stdio: ['ignore', 'pipe', 'pipe'],
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        GOLDCRESTSCALE_NODE_FILE: this.settingsPath,
      },
    });
    this.child = child;
    children.add(child);
    let errors = '';
    child.stdout.resume();
    child.stderr.on('data', (chunk) => {
      errors = (errors + chunk).slice(0, 2_000);
    });
    this.record.write(`${this.vmId}: started, process ${child.pid}`);
    this.exited = new Promise((resolve) => {
      child.once('exit', (code, signal) => {
        children.delete(child);
        if (this.child === child) this.isRunning = false;
        this.exits += 1;
        this.record.write(
          `${this.vmId}: process ${child.pid} ended, code ${code}, signal ${signal}`,
        );
        if (errors) this.record.write(`${this.vmId}: ${describeErrors(errors)}`);
        resolve({ code, signal });
      });
    });
  }

  async waitUntilReady(limitMs = 15_000) {
    await waitUntil(
      async () => (await ask(this.readinessPort, '/readiness')).status === 200,
      limitMs,
      `${this.vmId} ready`,
    );
    this.record.write(`${this.vmId}: ready`);
  }

  signal(name) {
    this.record.write(`${this.vmId}: ${name} sent`);
    this.child.kill(name);
  }

  async end() {
    if (!this.child || !this.isRunning) return;
    this.child.kill('SIGCONT');
    this.child.kill('SIGKILL');
    await this.exited;
  }
}
