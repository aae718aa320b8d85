import { existsSync, readdirSync, readFileSync } from 'node:fs';
import { computeRatio, isWithinBound } from './measurement.js';
import type { Benchmark, Measurement } from './measurement.js';

/**
 * Runs every `*.bench.ts` of this folder, or those whose names begin with an argument. Exits with 1
 * if a measurement is out of bounds and not listed in KNOWN-RED.txt.
 */

const benchFolder = new URL('.', import.meta.url);
const knownRedFile = new URL('../KNOWN-RED.txt', import.meta.url);

const readKnownRed = (): string =>
  existsSync(knownRedFile) ? readFileSync(knownRedFile, 'utf8') : '';

const formatValue = (value: number | undefined): string =>
  value === undefined ? '-' : String(Number(value.toPrecision(4)));

const describeBound = (measurement: Measurement): string => {
  if (measurement.bound === undefined) return 'printed only';
  const operator = measurement.isLowerBound ? '>=' : '<=';
  return `${measurement.boundOn === 'ratio' ? 'ratio ' : ''}${operator} ${formatValue(measurement.bound)}`;
};

const getStatus = (measurement: Measurement, knownRed: string): string => {
  if (isWithinBound(measurement)) return measurement.bound === undefined ? '' : 'ok';
  return knownRed.includes(measurement.name) ? 'known red' : 'RED';
};

const createRow = (measurement: Measurement, knownRed: string) => ({
  measure: measurement.name,
  baseline: formatValue(measurement.baseline),
  ours: formatValue(measurement.measured),
  ratio: formatValue(computeRatio(measurement)),
  bound: describeBound(measurement),
  status: getStatus(measurement, knownRed),
});

const main = async (): Promise<void> => {
  const namePrefixes = process.argv.slice(2);
  const files = readdirSync(benchFolder)
    .filter((file) => file.endsWith('.bench.ts'))
    .filter(
      (file) => namePrefixes.length === 0 || namePrefixes.some((name) => file.startsWith(name)),
    )
    .sort();
  const knownRed = readKnownRed();
  let outOfBoundsCount = 0;
  for (const file of files) {
    const benchModule = (await import(new URL(file, benchFolder).href)) as { default: Benchmark };
    const rows = (await benchModule.default.run()).map((measurement) =>
      createRow(measurement, knownRed),
    );
    console.log(`\n${benchModule.default.name}`);
    console.table(rows);
    outOfBoundsCount += rows.filter((row) => row.status === 'RED').length;
  }
  console.log(
    outOfBoundsCount === 0
      ? 'bench: no measurement out of bounds, except those listed in KNOWN-RED.txt'
      : `bench: ${outOfBoundsCount} measurement(s) out of bounds`,
  );
  process.exitCode = outOfBoundsCount === 0 ? 0 : 1;
};

await main();
