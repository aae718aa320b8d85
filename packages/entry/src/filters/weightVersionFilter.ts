import { createRefusal, toId } from '@goldcrestscale/core';
import type { ConfigTable, ModelId, WeightVersion } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** What the weight version filter needs. */
export interface WeightVersionOptions {
  readonly table: () => Pick<ConfigTable, 'getModel'>;
  /** Lists the versions on the engines of a model that may get new work. */
  readonly listServedVersions: (model: string) => readonly WeightVersion[];
}

const findMostServed = (served: readonly WeightVersion[]): WeightVersion | undefined => {
  const count = (version: WeightVersion): number =>
    served.filter((other) => other === version).length;
  return [...served].sort((left, right) => count(right) - count(left))[0];
};

/**
 * Pins the weight version of a completion for all of its attempts: the table's, or, until the first
 * engine has loaded that, the one that the engines still hold.
 */
export class WeightVersionFilter extends Filter {
  override readonly name = 'weightVersion';

  constructor(private readonly options: WeightVersionOptions) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const { target } = exchange;
    if (target.kind === 'completion') exchange.weightVersion = this.chooseVersion(target.model);
    await next();
  }

  private chooseVersion(model: string): WeightVersion {
    const row = this.options.table().getModel(toId<ModelId>(model));
    if (!row) {
      throw createRefusal(`The model "${model}" is not in the table.`, {
        code: 'unknown_model',
        status: 404,
      });
    }
    const served = this.options.listServedVersions(model);
    if (served.includes(row.version)) return row.version;
    return findMostServed(served) ?? row.version;
  }
}
