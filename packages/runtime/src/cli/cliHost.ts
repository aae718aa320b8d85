import type { Writable } from 'node:stream';

/** What a command uses of its process. */
export interface CliHost {
  readonly argv: readonly string[];
  readonly stdout: Writable;
  readonly stderr: Writable;
  /** Calls the handler for each SIGTERM and SIGINT until the signal aborts. */
  onStopSignal(handler: (name: string) => void, signal: AbortSignal): void;
  /** Ends the process at once. */
  exit(code: number): void;
}

const STOP_SIGNALS = ['SIGTERM', 'SIGINT'] as const;

/** Creates the host of the running process. */
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
  // eslint-disable-next-line n/no-process-exit -- a binary ends here, also with open handles
  exit: (code) => process.exit(code),
});
