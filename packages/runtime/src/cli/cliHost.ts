import type { Writable } from 'node:stream';
import { takeCollectedSignals } from './earlySignals.js';

/** The parts of the process that a command uses, replaceable in tests. */
export interface CliHost {
  readonly argv: readonly string[];
  readonly stdout: Writable;
  readonly stderr: Writable;
  /** Calls the handler for each of these signals until the process exits. */
  onSignals(names: readonly NodeJS.Signals[], handler: (name: string) => void): void;
  /** Exits the process immediately. */
  exit(code: number): void;
}

/** Creates the host for the current process. */
export const createProcessHost = (): CliHost => ({
  argv: process.argv.slice(2),
  stdout: process.stdout,
  stderr: process.stderr,
  onSignals(names, handler) {
    for (const name of names) process.on(name, handler);
    takeCollectedSignals().forEach(handler);
  },
  // eslint-disable-next-line n/no-process-exit -- the binary must exit even with open handles
  exit: (code) => process.exit(code),
});
