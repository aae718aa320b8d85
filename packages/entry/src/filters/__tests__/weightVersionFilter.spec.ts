import { expect, test } from 'vitest';
import { toId } from '@goldcrestscale/core';
import type { ConfigTable, ModelId, WeightVersion } from '@goldcrestscale/core';
import type { Exchange } from '../exchange.js';
import { WeightVersionFilter } from '../weightVersionFilter.js';

const pinVersion = async (served: readonly string[]): Promise<string | undefined> => {
  const id = toId<ModelId>('house');
  const row = { kind: 'model' as const, id, version: toId<WeightVersion>('v2') };
  const table: Pick<ConfigTable, 'getModel'> = {
    getModel: (model) => (model === id ? row : undefined),
  };
  const filter = new WeightVersionFilter({
    getTable: () => table,
    listServedVersions: () => served.map((version) => toId<WeightVersion>(version)),
  });
  const exchange = { target: { kind: 'completion', model: 'house' } } as Exchange;
  await filter.handle(exchange, () => Promise.resolve());
  return exchange.weightVersion;
};

test.each<[string, readonly string[], string]>([
  ['the configured version once one engine serves it', ['v1', 'v1', 'v2'], 'v2'],
  ['the most common version until then', ['v0', 'v1', 'v1'], 'v1'],
  ['the configured version if no engine serves', [], 'v2'],
])('pins %s', async (_name, served, pinned) => {
  expect(await pinVersion(served)).toBe(pinned);
});
