import { readFileSync } from 'node:fs';
import { execFileSync } from 'node:child_process';
import { expect, test } from 'vitest';

/** Headers, paths, topics and fields that only the adapter and the deployment files may name. */
const PLATFORM_NAMES =
  /x-goldcrestscale-|\/log-(?:append|read|newest|join)|keyed\.|\/kv-(?:events|free|list|move)|traffic_split|path_prefix|kv_store_address|cold_remaining_ms|switch_mode|fencing_token|api_keys|GOLDCRESTSCALE_NODE_FILE/i;

const listSources = (...folders: readonly string[]): readonly string[] =>
  execFileSync('git', ['ls-files', ...folders], { encoding: 'utf8' })
    .split('\n')
    .filter((name) => /\.(?:ts|js|json)$/.test(name) && !name.endsWith('platformNames.spec.ts'));

const readSource = (name: string): string => readFileSync(name, 'utf8');

const countLines = (names: readonly string[]): number =>
  names.reduce((sum, name) => sum + readSource(name).split('\n').length, 0);

const isTest = (name: string): boolean => /__tests__|\.spec\./.test(name);

test("the platform's names stand nowhere outside its adapter", () => {
  const naming = listSources('packages', 'bench', 'scripts', 'tests', 'playground').filter((name) =>
    PLATFORM_NAMES.test(readSource(name)),
  );
  expect(naming).toEqual([]);
});

test('the adapter stays within a tenth of the code', () => {
  const code = listSources('packages', 'platform', 'bench', 'scripts').filter(
    (name) => name.endsWith('.ts') && !isTest(name),
  );
  const adapter = code.filter((name) => name.startsWith('platform/'));
  expect(countLines(adapter) * 10).toBeLessThanOrEqual(countLines(code));
});

test('the adapter is used by nothing but itself', () => {
  const users = listSources('packages', 'bench', 'scripts').filter((name) =>
    /@goldcrestscale\/adapter|from '.*\/platform\/src/.test(readSource(name)),
  );
  expect(users).toEqual([]);
});
