import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { computeRatio, isWithinBound } from './measure.js';
import type { Benchmark, Measure } from './measure.js';

/** Runs every `*.bench.ts` of this folder and fails when a bound is broken that KNOWN-RED.txt does not list. */

const here = new URL('.', import.meta.url);
const knownRedFile = new URL('../KNOWN-RED.txt', import.meta.url);

const readKnownRed = (): string =>
  existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '';

const formatFigure = (value: number | undefined): string =>
  value === undefined ? '-' : String(Number(value.toPrecision(4)));

const describeBound = (measure: Measure): string => {
  if (measure.bound === undefined) return 'printed only';
  const sign = measure.atLeast ? '>=' : '<=';
  return `${measure.boundOn === 'ratio' ? 'ratio ' : ''}${sign} ${formatFigure(measure.bound)}`;
};

const describeStatus = (measure: Measure, knownRed: string): string => {
  if (isWithinBound(measure)) return measure.bound === undefined ? '' : 'ok';
  return knownRed.includes(measure.name) ? 'known red' : 'RED';
};

const toRow = (measure: Measure, knownRed: string) => ({
  measure: measure.name,
  baseline: formatFigure(measure.baseline),
  ours: formatFigure(measure.ours),
  ratio: formatFigure(computeRatio(measure)),
  bound: describeBound(measure),
  status: describeStatus(measure, knownRed),
});

const main = async (): Promise<void> => {
  const wanted = process.argv.slice(2);
  const files = readdirSync(here)
    .filter((file) => file.endsWith('.bench.ts'))
    .filter((file) => wanted.length === 0 || wanted.some((name) => file.startsWith(name)))
    .sort();
  const knownRed = readKnownRed();
  let red = 0;
  for (const file of files) {
    const module = (await import(new URL(file, here).href)) as { default: Benchmark };
    const rows = (await module.default.run()).map((measure) => toRow(measure, knownRed));
    console.log(`\n${module.default.name}`);
    console.table(rows);
    red += rows.filter((row) => row.status === 'RED').length;
  }
  console.log(red === 0 ? 'bench: every bound kept' : `bench: ${red} bound(s) broken`);
  process.exitCode = red === 0 ? 0 : 1;
};

await main();
