import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync } from 'node:fs';
import { checkReadiness, SETTINGS_VARIABLE } from '@goldcrestscale/adapter/standin/index.js';
import type { LifeRecord, SoakSignal } from './history.js';

const NS_PER_MS = 1_000_000;

const KB_PER_MB = 1_024;

const SAMPLE_INTERVAL_MS = 250;

/** Descriptors that a process may have. */
const DESCRIPTORS = 4_096;

const WAIT_SAMPLE_INTERVAL_MS = 50;

const readProc = (pid: number, name: string): string => {
  try {
    return readFileSync(`/proc/${pid}/${name}`, 'utf8');
  } catch {
    // The process has ended.
    return '';
  }
};

/** Time that a process has run, and time that it has waited for a processor. */
const readScheduling = (pid: number): { readonly cpuMs: number; readonly waitedMs: number } => {
  const [cpuNs = '0', waitedNs = '0'] = readProc(pid, 'schedstat').split(' ');
  return { cpuMs: Number(cpuNs) / NS_PER_MS, waitedMs: Number(waitedNs) / NS_PER_MS };
};

/** How the daemon is started. */
export interface DaemonCommand {
  readonly flags: readonly string[];
  readonly program: string;
}

/** One process of a VM; its life is recorded until it ends. */
export class DaemonProcess {
  readonly life: LifeRecord;

  /** Resolves when the process has ended. */
  readonly ended: Promise<void>;

  private readonly child: ChildProcess;

  private readonly samplers: readonly NodeJS.Timeout[];

  constructor(
    vmId: string,
    { flags, program }: DaemonCommand,
    paths: { readonly settings: string; readonly output: string },
    private readonly readinessAddress: string,
  ) {
    const output = openSync(paths.output, 'a');
    const limit = `ulimit -n ${DESCRIPTORS} && exec "$0" "$@"`;
    this.child = spawn('/bin/sh', ['-c', limit, process.execPath, ...flags, program], {
      stdio: ['ignore', output, output],
      env: { PATH: process.env.PATH, [SETTINGS_VARIABLE]: paths.settings },
    });
    closeSync(output);
    this.life = {
      vmId,
      pid: this.child.pid ?? 0,
      startedAtMs: performance.now(),
      signals: [],
      readyAtMs: [],
      waits: [],
      peakMemoryMb: 0,
      exit: undefined,
    };
    this.samplers = [
      setInterval(() => {
        void this.sample();
      }, SAMPLE_INTERVAL_MS),
      setInterval(() => this.sampleWait(), WAIT_SAMPLE_INTERVAL_MS),
    ];
    this.ended = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        this.samplers.forEach((sampler) => clearInterval(sampler));
        this.life.exit = { code, signal, atMs: performance.now() };
        resolve();
      });
    });
  }

  get isRunning(): boolean {
    return this.life.exit === undefined;
  }

  sendSignal(signal: SoakSignal, isOverdue = false): void {
    if (!this.isRunning) return;
    this.sampleWait();
    const { cpuMs } = readScheduling(this.life.pid);
    this.life.signals.push({ signal, atMs: performance.now(), cpuMs, isOverdue });
    this.child.kill(signal);
  }

  private sampleWait(): void {
    const { waitedMs } = readScheduling(this.life.pid);
    // An ended process has no figures any more.
    if (waitedMs > 0) this.life.waits.push({ atMs: performance.now(), waitedMs });
  }

  private async sample(): Promise<void> {
    const match = /VmHWM:\s+(\d+)/.exec(readProc(this.life.pid, 'status'));
    this.life.peakMemoryMb = Math.max(this.life.peakMemoryMb, Number(match?.[1] ?? 0) / KB_PER_MB);
    if (await checkReadiness(this.readinessAddress, SAMPLE_INTERVAL_MS)) {
      this.life.readyAtMs.push(performance.now());
    }
  }
}
