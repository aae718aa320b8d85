import { createRefusal, toId } from '@goldcrestscale/core';
import type { ConfigTable, ModelId } from '@goldcrestscale/core';
import type { Exchange } from './exchange.js';
import { Filter } from './filter.js';
import type { NextFilter } from './filter.js';

/** Pins the weight version of a completion for all of its attempts. */
export class WeightVersionFilter extends Filter {
  override readonly name = 'weightVersion';

  constructor(private readonly directory: () => Pick<ConfigTable, 'getModel'>) {
    super();
  }

  override async handle(exchange: Exchange, next: NextFilter): Promise<void> {
    const { target } = exchange;
    if (target.kind === 'completion') {
      const model = this.directory().getModel(toId<ModelId>(target.model));
      if (!model) {
        throw createRefusal(`The model "${target.model}" is not in the table.`, {
          code: 'unknown_model',
          status: 404,
        });
      }
      exchange.weightVersion = model.version;
    }
    await next();
  }
}
