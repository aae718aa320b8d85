import { readdirSync } from 'node:fs';
import { expect, test } from 'vitest';
import { listBrokenLinks, listCommandProblems, listCommands } from './commands.js';

const listPages = (folder: string): string[] =>
  readdirSync(folder, { recursive: true, encoding: 'utf8' })
    .filter((file) => file.endsWith('.md'))
    .map((file) => `${folder}/${file}`);

const rootPages = ['README.md', 'CONTRIBUTING.md'];
const commandPages = [...rootPages, ...listPages('docs/operating')];
const allPages = [...rootPages, ...listPages('docs'), ...listPages('playground')];

test.each(commandPages)('commands of %s exist', (page) => {
  expect(listCommands(page).flatMap(listCommandProblems)).toEqual([]);
});

test('commands are found in the pages', () => {
  expect(commandPages.flatMap(listCommands).length).toBeGreaterThan(50);
});

test('links between pages resolve', () => {
  expect(allPages.flatMap(listBrokenLinks)).toEqual([]);
});

test.each([
  'npm run demmo',
  'npx goldcrestctl zoen out zone-a',
  'npx goldcrestctl zone away zone-a',
  'npx goldcrestctl account make houtmeet',
  'npx goldcrestctl --setings docs/operating/examples/ctl.json get',
  'npx goldcrestctl --settings docs/operating/examples/none.json get',
  'npx goldcrest-standin logg --port 7000 &',
  'npx vitest run tests/none.spec.ts',
  'gold-entry --check',
])('invalid command is reported: %s', (line) => {
  expect(listCommandProblems(line)).not.toEqual([]);
});
