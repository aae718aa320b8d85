/** Prints the slopes that docs/CAPACITY.md quotes. */
import { measureIndex } from './capacity/measureIndex.js';
import { measureMesh } from './capacity/measureMesh.js';
import { measureTable } from './capacity/measureTable.js';
import type { Slope } from './capacity/slope.js';

const BYTES_PER_MB = 1024 * 1024;

const measureIdle = (): readonly Slope[] => [
  {
    name: 'process: resident before any work',
    value: process.memoryUsage().rss / BYTES_PER_MB,
    unit: 'MB',
  },
];

const main = async (): Promise<void> => {
  const slopes = [
    ...measureIdle(),
    ...(await measureTable()),
    ...(await measureMesh()),
    ...(await measureIndex()),
  ];
  console.table(
    slopes.map(({ name, value, unit }) => ({ name, value: Number(value.toPrecision(3)), unit })),
  );
};

await main();
