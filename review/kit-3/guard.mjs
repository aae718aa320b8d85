import { spawn } from 'node:child_process';
import { fileURLToPath } from 'node:url';

const PROGRAM = fileURLToPath(new URL('../stand-ins/guard.mjs', import.meta.url));

/** Has the processes that a script started end with it, also if it is killed. */
export class Guard {
  child = spawn(process.execPath, [PROGRAM], {
    stdio: ['pipe', 'ignore', 'ignore'],
    detached: true,
  });

  constructor() {
    this.child.stdin.on('error', () => undefined);
  }

  watch(pid) {
    this.child.stdin.write(`${pid}\n`);
  }

  forget(pid) {
    this.child.stdin.write(`-${pid}\n`);
  }

  /** Ends the guard itself, and whatever still runs. */
  close() {
    this.child.stdin.end();
  }
}
