import { writeFileSync } from 'node:fs';
import { createSocket } from 'node:dgram';
import { createServer, Server } from 'node:net';
import { join } from 'node:path';
import { sleep } from '@goldcrestscale/core';
import type { EndlessBytes } from '@goldcrestscale/adapter/standin/index.js';
import { DaemonProcess } from './daemonProcess.js';
import type { DaemonCommand } from './daemonProcess.js';
import type { ImpairmentRecord, LifeRecord, SoakHistory, SoakSignal } from './history.js';
import { measureLostTime } from './lostTime.js';
import { sendUnauthenticated, sendNoise } from './unauthenticatedClient.js';

/** Listeners of a VM, each on a port of the loopback interface. */
export interface VmPorts {
  readonly callers: number;
  readonly readiness: number;
  readonly directory: number;
  readonly mesh: number;
  readonly metrics: number;
}

/** Port of a VM, by protocol. */
export type VmPort = keyof VmPorts | 'meshDatagrams';

/** What meets the next start of a VM. */
export interface NextStart {
  readonly early: readonly { readonly afterMs: number; readonly signal: SoakSignal }[];
  readonly heldPort: VmPort | undefined;
  readonly portHeldMs: number;
  /** How long the settings file is there in part; 0 if it is whole. */
  readonly settingsPartMs: number;
}

/** Options of a VM. */
export interface VmOptions {
  readonly vmId: string;
  readonly ports: VmPorts;
  readonly settings: object;
  readonly folder: string;
  readonly command: DaemonCommand;
  readonly shutdownMs: number;
  /** Spans in which the soak stood still, up to now. */
  readonly stalls: SoakHistory['stalls'];
}

const LOOPBACK = '127.0.0.1';

const RESTART_DELAY_MS = 60;

const PLAIN_START: NextStart = {
  early: [],
  heldPort: undefined,
  portHeldMs: 0,
  settingsPartMs: 0,
};

/** First bytes of a settings file that is there in part. */
const PART_BYTES = 200;

/** Holds a port, as a socket would that got it by chance. */
const listenOnPort = async (port: number, isDatagram: boolean, durationMs: number) => {
  const holder = isDatagram
    ? createSocket('udp4').bind(port, LOOPBACK)
    : createServer((socket) => socket.destroy()).listen(port, LOOPBACK);
  // The next process may already have the port.
  holder.once('error', () => {});
  await sleep(durationMs);
  if (holder instanceof Server ? holder.listening : true) holder.close();
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
    this.schedule(this.options.shutdownMs, () => this.killOverdue(daemon, atMs));
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

  async receiveNoise(port: VmPort, bytes: string): Promise<void> {
    await sendNoise(this.findPort(port), port === 'meshDatagrams', bytes);
  }

  /** Unauthenticated clients connect to a port; they send without end, or nothing more. */
  async receiveUnauthenticated(
    port: VmPort,
    connections: number,
    bytes: EndlessBytes,
    durationMs: number,
  ): Promise<void> {
    const signal = AbortSignal.timeout(durationMs);
    await sendUnauthenticated(this.findPort(port), connections, bytes, signal);
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

  /** Ends a process that has had the whole time of a shutdown. */
  private killOverdue(daemon: DaemonProcess, signalledAtMs: number): void {
    const { shutdownMs, stalls } = this.options;
    const nowMs = performance.now();
    const lostMs = measureLostTime(daemon.life, { stalls }, signalledAtMs, nowMs);
    const leftMs = signalledAtMs + shutdownMs + Math.min(lostMs, shutdownMs) - nowMs;
    if (leftMs <= 0) daemon.sendSignal('SIGKILL', true);
    else this.schedule(leftMs, () => this.killOverdue(daemon, signalledAtMs));
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
    const { heldPort, portHeldMs, settingsPartMs } = this.next;
    if (heldPort !== undefined) {
      const atMs = performance.now();
      this.recordImpairment('port', atMs, atMs + portHeldMs);
      void listenOnPort(this.findPort(heldPort), heldPort === 'meshDatagrams', portHeldMs);
    }
    if (settingsPartMs > 0) this.rewriteSettings(settingsPartMs, false);
    await sleep(RESTART_DELAY_MS);
    if (!this.isStopping) this.start();
  }

  private findPort(port: VmPort): number {
    return this.options.ports[port === 'meshDatagrams' ? 'mesh' : port];
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
