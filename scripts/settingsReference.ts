/**
 * Generates docs/operating/settings.md from the settings schemas of the binaries. With `--check` it
 * writes nothing, and fails if the page is out of date or a field has no description.
 */
import { readFileSync, writeFileSync } from 'node:fs';
import { format, resolveConfig } from 'prettier';
import { ctlSettingsSchema } from '@goldcrestscale/ctl';
import { loadToolSettingsSchema } from '@goldcrestscale/load';
import { listUndocumentedFields, renderSettingsReference } from '@goldcrestscale/runtime';
// eslint-disable-next-line import-x/no-relative-packages -- the daemon's package exports no settings
import { entrySettingsSchema } from '../packages/entry/src/config.js';

const page = new URL('../docs/operating/settings.md', import.meta.url);

const binaries = [
  { name: 'goldcrest-entry', schema: entrySettingsSchema },
  { name: 'goldcrestctl', schema: ctlSettingsSchema },
  { name: 'goldcrest-load', schema: loadToolSettingsSchema },
];

const renderPage = async (): Promise<string> => {
  const options = await resolveConfig(page);
  return format(renderSettingsReference(binaries), { ...options, parser: 'markdown' });
};

const readPage = (): string => {
  try {
    return readFileSync(page, 'utf8');
  } catch {
    return '';
  }
};

const main = async (): Promise<number> => {
  const undocumented = binaries.flatMap(listUndocumentedFields);
  undocumented.forEach((field) => console.error(`${field} has no description`));
  const text = await renderPage();
  if (!process.argv.includes('--check')) {
    writeFileSync(page, text);
    return undocumented.length === 0 ? 0 : 1;
  }
  const isCurrent = readPage() === text;
  if (!isCurrent) {
    console.error('docs/operating/settings.md is out of date; run scripts/settingsReference.ts');
  }
  return isCurrent && undocumented.length === 0 ? 0 : 1;
};

process.exitCode = await main();
