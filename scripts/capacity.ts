/** Prints the marginal resource costs that docs/CAPACITY.md quotes. */
import { measureDaemon } from './capacity/measureDaemon.js';
import { measureIndex } from './capacity/measureIndex.js';
import { measureLog } from './capacity/measureLog.js';
import { measureMesh } from './capacity/measureMesh.js';
import { measureTable } from './capacity/measureTable.js';

const main = async (): Promise<void> => {
  const costs = [
    ...(await measureTable()),
    ...(await measureMesh()),
    ...(await measureIndex()),
    ...(await measureLog()),
    ...(await measureDaemon()),
  ];
  console.table(
    costs.map(({ name, value, unit }) => ({ name, value: Number(value.toPrecision(3)), unit })),
  );
};

await main();
