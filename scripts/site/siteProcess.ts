import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fetch } from 'undici';

const MAX_OUTPUT_BYTES = 200_000;

/** Command line and environment of a process. */
export interface ProcessCommand {
  /** JavaScript file that Node.js runs. */
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

/** Exit status of a process. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** One process of a site, which can be started repeatedly with the same command line. */
export class SiteProcess {
  private child: ChildProcess | undefined;

  private output = '';

  constructor(
    readonly id: string,
    readonly url: string,
    private readonly command: ProcessCommand,
    /** Readiness URL, which returns 200 once the process is ready. */
    private readonly readyUrl: string,
  ) {}

  get isRunning(): boolean {
    return this.child !== undefined && this.child.exitCode === null && !this.child.signalCode;
  }

  /** Process id while it runs. */
  get pid(): number {
    const pid = this.child?.pid;
    if (pid === undefined) throw new Error(`${this.id} has not started`);
    return pid;
  }

  /** Most recent output on stdout and stderr. */
  get recentOutput(): string {
    return this.output;
  }

  /** Starts the process without waiting for its readiness. */
  start(): void {
    const { script, args, env } = this.command;
    const child = spawn(process.execPath, [script, ...args], {
      env: { ...process.env, ...env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const appendOutput = (chunk: Buffer): void => {
      this.output = (this.output + chunk.toString('utf8')).slice(-MAX_OUTPUT_BYTES);
    };
    child.stdout.on('data', appendOutput);
    child.stderr.on('data', appendOutput);
    this.child = child;
  }

  /** Probes the readiness URL; throws if the process has exited. */
  async isReady(): Promise<boolean> {
    if (!this.isRunning) throw new Error(`process ${this.id} has exited:\n${this.output}`);
    try {
      const response = await fetch(this.readyUrl);
      await response.arrayBuffer();
      return response.ok;
    } catch {
      return false;
    }
  }

  /** Sends a signal to this process only. */
  sendSignal(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Waits until the process has exited. */
  async waitForExit(): Promise<ProcessExit> {
    const { child } = this;
    if (child && this.isRunning) await once(child, 'exit');
    return { code: child?.exitCode ?? null, signal: child?.signalCode ?? null };
  }
}
