import { writeFile } from 'node:fs/promises';
import { join } from 'node:path';

/** Collects what a script saw and writes it to `record.txt` in the folder of its case. */
export class Recorder {
  lines = [];

  constructor(folder) {
    this.path = join(folder, 'record.txt');
    this.startedAtMs = performance.now();
  }

  note(text) {
    const seconds = ((performance.now() - this.startedAtMs) / 1_000).toFixed(3);
    this.lines.push(`${seconds.padStart(8)} s  ${text}`);
  }

  save() {
    return writeFile(this.path, `${this.lines.join('\n')}\n`);
  }
}

export const sleep = (delayMs) =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Waits until a condition holds. @throws after the limit */
export const waitUntil = async (what, limitMs, isTrue) => {
  const deadlineAtMs = performance.now() + limitMs;
  while (!(await isTrue())) {
    if (performance.now() > deadlineAtMs) throw new Error(`not within ${limitMs} ms: ${what}`);
    await sleep(20);
  }
};
