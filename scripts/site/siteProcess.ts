import { spawn } from 'node:child_process';
import type { ChildProcess } from 'node:child_process';
import { once } from 'node:events';
import { fetch } from 'undici';

const MAX_OUTPUT_BYTES = 200_000;

/** How a process is started. */
export interface ProcessCommand {
  /** Script that node runs. */
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
}

/** How a process ended. */
export interface ProcessExit {
  readonly code: number | null;
  readonly signal: NodeJS.Signals | null;
}

/** One process of a site; it keeps its command line over restarts. */
export class SiteProcess {
  private child: ChildProcess | undefined;

  private output = '';

  constructor(
    readonly id: string,
    readonly url: string,
    private readonly command: ProcessCommand,
    /** Answers 200 once the process is ready. */
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

  /** Last part of what it has written, for diagnosis. */
  get tail(): string {
    return this.output;
  }

  /** Starts the process; does not wait until it is ready. */
  start(): void {
    const { script, args, env } = this.command;
    const child = spawn(process.execPath, [script, ...args], {
      env: { ...process.env, ...env },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const record = (chunk: Buffer): void => {
      this.output = (this.output + chunk.toString('utf8')).slice(-MAX_OUTPUT_BYTES);
    };
    child.stdout.on('data', record);
    child.stderr.on('data', record);
    this.child = child;
  }

  /** Tells whether it answers as ready now. */
  async isReady(): Promise<boolean> {
    if (!this.isRunning) throw new Error(`${this.id} has ended:\n${this.output}`);
    try {
      const answer = await fetch(this.readyUrl);
      await answer.arrayBuffer();
      return answer.ok;
    } catch {
      return false;
    }
  }

  /** Sends a signal to this process only. */
  send(signal: NodeJS.Signals): void {
    this.child?.kill(signal);
  }

  /** Waits until the process has ended. */
  async waitForExit(): Promise<ProcessExit> {
    const { child } = this;
    if (child && this.isRunning) await once(child, 'exit');
    return { code: child?.exitCode ?? null, signal: child?.signalCode ?? null };
  }
}
