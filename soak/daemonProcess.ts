import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { closeSync, openSync, readFileSync } from 'node:fs';
import { checkReadiness, SETTINGS_VARIABLE } from '@goldcrestscale/adapter/standin/index.js';
import type { LifeRecord, SoakSignal } from './history.js';

const NS_PER_MS = 1_000_000;

const KB_PER_MB = 1_024;

const SAMPLE_INTERVAL_MS = 250;

const readProc = (pid: number, name: string): string => {
  try {
    return readFileSync(`/proc/${pid}/${name}`, 'utf8');
  } catch {
    // The process has ended.
    return '';
  }
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

  private readonly sampler: NodeJS.Timeout;

  constructor(
    vmId: string,
    { flags, program }: DaemonCommand,
    paths: { readonly settings: string; readonly output: string },
    private readonly readinessAddress: string,
  ) {
    const output = openSync(paths.output, 'a');
    this.child = spawn(process.execPath, [...flags, program], {
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
      peakMemoryMb: 0,
      exit: undefined,
    };
    this.sampler = setInterval(() => {
      void this.sample();
    }, SAMPLE_INTERVAL_MS);
    this.ended = new Promise((resolve) => {
      this.child.once('exit', (code, signal) => {
        clearInterval(this.sampler);
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
    const cpuMs = Number(readProc(this.life.pid, 'schedstat').split(' ')[0]) / NS_PER_MS;
    this.life.signals.push({ signal, atMs: performance.now(), cpuMs, isOverdue });
    this.child.kill(signal);
  }

  private async sample(): Promise<void> {
    const match = /VmHWM:\s+(\d+)/.exec(readProc(this.life.pid, 'status'));
    this.life.peakMemoryMb = Math.max(this.life.peakMemoryMb, Number(match?.[1] ?? 0) / KB_PER_MB);
    if (await checkReadiness(this.readinessAddress, SAMPLE_INTERVAL_MS)) {
      this.life.readyAtMs.push(performance.now());
    }
  }
}
