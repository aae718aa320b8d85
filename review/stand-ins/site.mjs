/** A small site: the daemons of the deploy file as processes, and what a script records. */
import { spawn } from 'node:child_process';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import { Daemon, findPort } from './daemon.mjs';

export { ask } from './ask.mjs';

/** Exit codes of a script. */
export const EXIT = { held: 0, broken: 1, notRun: 2 };

export const hasTrouble = process.env.TROUBLE !== '0';

/** Starts daemons, takes notes, and ends all that it started. */
export class Site {
  daemons = [];

  /** Ends the daemons if this process is killed. */
  #guard = spawn(process.execPath, [fileURLToPath(new URL('guard.mjs', import.meta.url))], {
    stdio: ['pipe', 'ignore', 'ignore'],
    detached: true,
  });

  #startedAtMs = performance.now();

  #lines = [];

  /** @param scriptUrl URL of the script, in whose folder the record is written */
  constructor(scriptUrl) {
    this.recordPath = fileURLToPath(new URL('record.txt', scriptUrl));
    this.#guard.stdin.on('error', () => undefined);
    // Whatever happens, no process is left.
    process.on('exit', () => this.#killAll());
    ['SIGTERM', 'SIGINT'].forEach((name) =>
      process.on(name, () => {
        this.note('stopped', { name });
        this.#finish(EXIT.notRun);
      }),
    );
  }

  note(what, fields = {}) {
    const seconds = ((performance.now() - this.#startedAtMs) / 1_000).toFixed(3);
    this.#lines.push(`${seconds.padStart(8)} ${what} ${JSON.stringify(fields)}`);
  }

  async startDaemon(name, zone, logAddress) {
    const ports = [];
    while (ports.length < 5) ports.push(await findPort());
    const daemon = new Daemon(this, name, zone, logAddress, ports);
    this.daemons.push(daemon);
    await daemon.start();
    const { pid } = daemon.child;
    this.#guard.stdin.write(`${pid}\n`);
    daemon.child.once('exit', () => this.#guard.stdin.write(`-${pid}\n`));
    await daemon.waitUntilReady();
    return daemon;
  }

  /** Runs a script and ends the process with its exit code. */
  async run(script) {
    let code = EXIT.notRun;
    try {
      this.folder = await mkdtemp(join(tmpdir(), 'review-'));
      this.note('begin', { trouble: hasTrouble });
      code = (await script(this)) ? EXIT.broken : EXIT.held;
    } catch (cause) {
      this.note('could not run', { cause: String(cause?.message ?? cause) });
    }
    await this.#finish(code);
  }

  async #finish(code) {
    this.note('end', { exit: code });
    this.#killAll();
    await Promise.all(this.daemons.map(({ exited }) => exited));
    await writeFile(this.recordPath, `${this.#lines.join('\n')}\n`);
    const { KEEP_OUTPUT: kept } = process.env;
    if (kept) {
      await Promise.all(
        this.daemons.map(({ name, output }) => writeFile(join(kept, `${name}.log`), output)),
      );
    }
    if (this.folder) await rm(this.folder, { recursive: true, force: true });
    // eslint-disable-next-line n/no-process-exit -- stand-ins may still be open
    process.exit(code);
  }

  #killAll() {
    this.daemons.forEach(({ child }) => {
      if (!child || child.exitCode !== null || child.signalCode !== null) return;
      child.kill('SIGCONT');
      child.kill('SIGKILL');
    });
  }
}
