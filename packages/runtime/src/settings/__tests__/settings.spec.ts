import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import fc from 'fast-check';
import { afterAll, expect, test } from 'vitest';
import { z } from 'zod';
import {
  computeEditDistance,
  findNearestKey,
  loadSecret,
  loadSettings,
  MASK,
  maskSecrets,
  parseSettings,
  secretReferenceSchema,
  SettingsError,
} from '../index.js';

const schema = z.strictObject({
  listen: z.strictObject({
    port: z.number().int().min(1).max(65_535).describe('Port of the listener.'),
  }),
  mode: z.enum(['fast', 'safe']).default('safe'),
  meshKey: secretReferenceSchema.optional(),
  peers: z.array(z.strictObject({ address: z.string() })).default([]),
});

const directory = await mkdtemp(join(tmpdir(), 'settings-'));
afterAll(() => rm(directory, { recursive: true }));

const writeSettingsFile = async (name: string, text: string): Promise<string> => {
  const file = join(directory, name);
  await writeFile(file, text);
  return file;
};

const collectProblems = (value: unknown) => {
  try {
    parseSettings(schema, value, 'x.json');
    return [];
  } catch (error) {
    if (error instanceof SettingsError) return error.problems;
    throw error;
  }
};

test('loads a valid file and applies defaults', async () => {
  const file = await writeSettingsFile('good.json', '{"listen":{"port":80}}');
  expect(await loadSettings(schema, file)).toEqual({
    listen: { port: 80 },
    mode: 'safe',
    peers: [],
  });
});

test('lists all problems', () => {
  const problems = collectProblems({
    lisen: {},
    listen: { port: 'x', prot: 1 },
    mode: 'slow',
    peers: [{ address: 1 }],
  });
  const byPath = new Map(problems.map((problem) => [problem.path, problem]));
  expect([...byPath.keys()].sort()).toEqual([
    'lisen',
    'listen.port',
    'listen.prot',
    'mode',
    'peers[0].address',
  ]);
  expect(byPath.get('lisen')?.nearestKey).toBe('listen');
  expect(byPath.get('listen.prot')?.nearestKey).toBe('port');
  expect(byPath.get('listen.port')).toMatchObject({
    found: '"x"',
    allowed: 'allowed: expected number, received string (Port of the listener)',
  });
  expect(byPath.get('mode')?.allowed).toContain('"fast"|"safe"');
});

test('never includes a secret in a problem', () => {
  for (const meshKey of [
    'hunter-22',
    { value: 'hunter-22' },
    ['hunter-22'],
    { fil: 'hunter-22' },
  ]) {
    const problems = collectProblems({ listen: { port: 1 }, meshKey });
    expect(problems.length).toBeGreaterThan(0);
    expect(JSON.stringify(problems)).not.toContain('hunter-22');
  }
});

test('rejects invalid JSON and a missing file', async () => {
  const broken = await writeSettingsFile('broken.json', '{"meshKey": hunter-22}');
  await expect(loadSettings(schema, broken)).rejects.toThrow(/broken JSON/);
  await expect(loadSettings(schema, broken)).rejects.not.toThrow(/hunter/);
  await expect(loadSettings(schema, join(directory, 'none'))).rejects.toThrow(/ENOENT/);
});

test('parses any JSON or throws a SettingsError', () => {
  fc.assert(
    fc.property(fc.jsonValue(), fc.string(), fc.jsonValue(), (value, key, inner) => {
      const candidates = [value, { listen: { port: 1 }, [key]: inner }, { listen: value }];
      candidates.forEach(collectProblems);
    }),
    { seed: 1, numRuns: 300 },
  );
});

test('the edit distance is a metric', () => {
  fc.assert(
    fc.property(fc.string(), fc.string(), fc.string(), (a, b, c) => {
      expect(computeEditDistance(a, b)).toBe(computeEditDistance(b, a));
      expect(computeEditDistance(a, b) === 0).toBe(a === b);
      const detour = computeEditDistance(a, c) + computeEditDistance(c, b);
      expect(computeEditDistance(a, b)).toBeLessThanOrEqual(detour);
    }),
    { seed: 1, numRuns: 200 },
  );
});

test('finds the nearest key', () => {
  expect(findNearestKey('Prot', ['port', 'host'])).toBe('port');
  expect(findNearestKey('zzzzzz', ['port', 'host'])).toBeUndefined();
  expect(findNearestKey('x', [])).toBeUndefined();
});

test('masks secrets', () => {
  expect(
    maskSecrets({ apiKey: 'a', meshKey: { file: 'f' }, maxTokens: 5, keys: ['a', 7] }),
  ).toEqual({ apiKey: MASK, meshKey: { file: 'f' }, maxTokens: 5, keys: [MASK, MASK] });
});

test('loads secrets from a file and the environment', async () => {
  const file = await writeSettingsFile('secret', 'hunter-22\n');
  expect(await loadSecret({ file })).toBe('hunter-22');
  process.env.GOLDCREST_TEST_SECRET = 'hunter-23';
  expect(await loadSecret({ env: 'GOLDCREST_TEST_SECRET' })).toBe('hunter-23');
  delete process.env.GOLDCREST_TEST_SECRET;
  await expect(loadSecret({ env: 'GOLDCREST_TEST_SECRET' })).rejects.toThrow(SettingsError);
  await expect(loadSecret({ file: join(directory, 'none') })).rejects.toThrow(/ENOENT/);
});
