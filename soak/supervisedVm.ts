import { writeFileSync } from 'node:fs';
import { createServer } from 'node:net';
import { join } from 'node:path';
import { sleep } from '@goldcrestscale/core';
import { DaemonProcess } from './daemonProcess.js';
import type { DaemonCommand } from './daemonProcess.js';
import type { ImpairmentRecord, LifeRecord, SoakSignal } from './history.js';

/** Listeners of a VM, each on a port of the loopback interface. */
export interface VmPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly directory: number;
  readonly mesh: number;
  readonly metrics: number;
}

/** What the supervisor does between the end of a process and soon after the next start. */
export interface NextStart {
  readonly early: readonly { readonly afterMs: number; readonly signal: SoakSignal }[];
  readonly portHeldMs: number;
  readonly portIndex: number;
}

/** Options of a VM. */
export interface VmOptions {
  readonly vmId: string;
  readonly ports: VmPorts;
  readonly settings: object;
  readonly folder: string;
  readonly command: DaemonCommand;
  readonly shutdownMs: number;
}

const LOOPBACK = '127.0.0.1';

const RESTART_DELAY_MS = 60;

const PLAIN_START: NextStart = { early: [], portHeldMs: 0, portIndex: 0 };

/** First bytes of a settings file that is there in part. */
const PART_BYTES = 200;

/** Holds a port, as a connection would that got it by chance. */
const listenOnPort = async (port: number, durationMs: number): Promise<void> => {
  const holder = createServer();
  const isHeld = await new Promise<boolean>((resolve) => {
    holder.once('error', () => resolve(false));
    holder.listen(port, LOOPBACK, () => resolve(true));
  });
  if (!isHeld) return;
  await sleep(durationMs);
  holder.close();
};

/** A VM whose supervisor starts its process again each time it has ended. */
export class SupervisedVm {
  readonly lives: LifeRecord[] = [];

  readonly impairments: ImpairmentRecord[] = [];

  private process: DaemonProcess | undefined;

  private next = PLAIN_START;

  private isStopping = false;

  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly options: VmOptions) {
    this.writeSettings();
  }

  get vmId(): string {
    return this.options.vmId;
  }

  get address(): string {
    return `${LOOPBACK}:${this.options.ports.callers}`;
  }

  get isReady(): boolean {
    return (this.process?.life.readyAtMs.length ?? 0) > 0;
  }

  start(): void {
    const { vmId, command, folder, ports } = this.options;
    const daemon = new DaemonProcess(
      vmId,
      command,
      { settings: this.settingsPath, output: join(folder, `${vmId}.log`) },
      `${LOOPBACK}:${ports.readiness}`,
    );
    this.process = daemon;
    this.lives.push(daemon.life);
    const { early } = this.next;
    this.next = PLAIN_START;
    early.forEach(({ afterMs, signal }) => {
      this.schedule(afterMs, () => {
        if (daemon === this.process) this.sendSignal(signal);
      });
    });
    void daemon.ended.then(() => this.onEnd());
  }

  sendSignal(signal: SoakSignal): void {
    const daemon = this.process;
    if (!daemon?.isRunning) return;
    const atMs = performance.now();
    if (signal === 'SIGKILL') this.recordImpairment('kill', atMs, atMs);
    daemon.sendSignal(signal);
    if (signal !== 'SIGTERM' && signal !== 'SIGINT') return;
    this.schedule(this.options.shutdownMs, () => daemon.sendSignal('SIGKILL', true));
  }

  /** Freezes the process. */
  pause(durationMs: number): void {
    const daemon = this.process;
    if (!daemon?.isRunning) return;
    const fromMs = performance.now();
    this.recordImpairment('freeze', fromMs, fromMs + durationMs);
    daemon.sendSignal('SIGSTOP');
    this.schedule(durationMs, () => daemon.sendSignal('SIGCONT'));
  }

  restart(signal: 'SIGTERM' | 'SIGKILL', next: NextStart): void {
    this.next = next;
    this.sendSignal(signal);
  }

  /** Writes the settings file anew, first in part. */
  rewriteSettings(partMs: number, hasSignal: boolean): void {
    const atMs = performance.now();
    this.recordImpairment('settings', atMs, atMs + partMs);
    this.writeSettings(Math.round(atMs) % 2 === 0 ? 0 : PART_BYTES);
    if (hasSignal) this.schedule(partMs / 2, () => this.sendSignal('SIGHUP'));
    this.schedule(partMs, () => this.writeSettings());
  }

  /** Ends the process for good: SIGTERM, and SIGKILL when its time is over. */
  async stop(): Promise<void> {
    this.isStopping = true;
    this.sendSignal('SIGTERM');
    await this.process?.ended;
    this.clear();
  }

  kill(): void {
    this.isStopping = true;
    this.clear();
    this.process?.sendSignal('SIGKILL');
  }

  private get settingsPath(): string {
    return join(this.options.folder, `${this.vmId}.json`);
  }

  private writeSettings(bytes = Infinity): void {
    const text = JSON.stringify(this.options.settings, undefined, 2);
    writeFileSync(this.settingsPath, text.slice(0, bytes));
  }

  private async onEnd(): Promise<void> {
    if (this.isStopping) return;
    const { portHeldMs, portIndex } = this.next;
    const { ports } = this.options;
    const port = [ports.callers, ports.readiness, ports.directory, ports.mesh][portIndex];
    if (portHeldMs > 0 && port !== undefined) {
      const atMs = performance.now();
      this.recordImpairment('port', atMs, atMs + portHeldMs);
      void listenOnPort(port, portHeldMs);
    }
    await sleep(RESTART_DELAY_MS);
    if (!this.isStopping) this.start();
  }

  private recordImpairment(kind: ImpairmentRecord['kind'], fromMs: number, toMs: number): void {
    this.impairments.push({ vmId: this.vmId, kind, fromMs, toMs });
  }

  private schedule(afterMs: number, action: () => void): void {
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      action();
    }, afterMs);
    this.timers.add(timer);
  }

  private clear(): void {
    this.timers.forEach((timer) => clearTimeout(timer));
    this.timers.clear();
  }
}
