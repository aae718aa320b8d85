import { createRefusal, toId } from '@goldcrestscale/core';
import type { ConfigTable, ModelId, WeightVersion } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Dependencies of the weight version filter. */
export interface WeightVersionFilterOptions {
  readonly getTable: () => Pick<ConfigTable, 'getModel'>;
  /** Lists the versions loaded on the eligible engines of a model, one entry per engine. */
  readonly listServedVersions: (model: string) => readonly WeightVersion[];
}

const findMostCommonVersion = (served: readonly WeightVersion[]): WeightVersion | undefined => {
  const countEngines = (version: WeightVersion): number =>
    served.filter((other) => other === version).length;
  return [...served].sort((left, right) => countEngines(right) - countEngines(left))[0];
};

/**
 * Pins the weight version of a completion for all of its attempts. It is the version in the table
 * or, until the first engine has loaded that one, the version that most engines serve.
 */
export class WeightVersionFilter extends Filter {
  override readonly name = 'weightVersion';

  constructor(private readonly options: WeightVersionFilterOptions) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const { target } = exchange;
    if (target.kind === 'completion') exchange.weightVersion = this.chooseVersion(target.model);
    await next();
  }

  private chooseVersion(model: string): WeightVersion {
    const row = this.options.getTable().getModel(toId<ModelId>(model));
    if (!row) {
      throw createRefusal(`The model "${model}" is not in the table.`, {
        code: 'unknown_model',
        status: 404,
      });
    }
    const served = this.options.listServedVersions(model);
    if (served.includes(row.version)) return row.version;
    return findMostCommonVersion(served) ?? row.version;
  }
}
