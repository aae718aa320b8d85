import type { Writable } from 'node:stream';

/** The parts of the process that a command uses, replaceable in tests. */
export interface CliHost {
  readonly argv: readonly string[];
  readonly stdout: Writable;
  readonly stderr: Writable;
  /** Calls the handler for each SIGTERM and SIGINT until the abort signal fires. */
  onStopSignal(handler: (name: string) => void, signal: AbortSignal): void;
  /** Exits the process immediately. */
  exit(code: number): void;
}

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Creates the host for the current process. */
export const createProcessHost = (): CliHost => ({
  argv: process.argv.slice(2),
  stdout: process.stdout,
  stderr: process.stderr,
  onStopSignal: (handler, signal) => {
    for (const name of STOP_SIGNALS) {
      process.on(name, handler);
      signal.addEventListener('abort', () => process.off(name, handler), { once: true });
    }
  },
  // eslint-disable-next-line n/no-process-exit -- the binary must exit even with open handles
  exit: (code) => process.exit(code),
});
