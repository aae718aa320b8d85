import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { expect, onTestFinished, test } from 'vitest';
import { UnreadableSettingsError, readSettingsFile } from '../readSettingsFile.js';

const createFolder = (): string => {
  const folder = mkdtempSync(join(tmpdir(), 'goldcrest-settings-'));
  onTestFinished(() => rmSync(folder, { recursive: true }));
  return folder;
};

// A start that met the file while it was being written ended at once.
test.each([undefined, '', '{"port": 1, "na'])('reads a file that is %j again', async (first) => {
  const file = join(createFolder(), 'settings.json');
  if (first !== undefined) writeFileSync(file, first);
  const problems: string[] = [];
  const onWait = (problem: string) => problems.push(problem);
  const reading = readSettingsFile(file, { waitMs: 5_000, onWait });
  setTimeout(() => writeFileSync(file, '{"port": 1}'), 200);
  expect(await reading).toEqual({ port: 1 });
  expect(problems).toHaveLength(1);
});

// The wait has an end, and a stop ends it earlier.
test('gives up after the time given, or when stopped', async () => {
  const file = join(createFolder(), 'settings.json');
  await expect(readSettingsFile(file, { waitMs: 100 })).rejects.toThrow('ENOENT');
  const startedAtMs = performance.now();
  const signal = AbortSignal.timeout(100);
  await expect(readSettingsFile(file, { waitMs: 30_000, signal })).rejects.toThrow();
  expect(performance.now() - startedAtMs).toBeLessThan(5_000);
});

// Waiting doesn't make a folder a file.
test('fails at once where no file can be', async () => {
  const problems: string[] = [];
  const onWait = (problem: string) => problems.push(problem);
  const reading = readSettingsFile(createFolder(), { waitMs: 30_000, onWait });
  await expect(reading).rejects.toThrow(UnreadableSettingsError);
  await expect(readSettingsFile('', { waitMs: 30_000, onWait })).rejects.toThrow('ENOENT');
  expect(problems).toEqual([]);
});
