import type { Exchange } from './exchange.js';
import type { Filter } from './filter.js';

/** Runs an exchange through filters in their order. */
export const runChain = async (filters: readonly Filter[], exchange: Exchange): Promise<void> => {
  const runFrom = async (index: number): Promise<void> => {
    const filter = filters[index];
    if (filter) await filter.handle(exchange, () => runFrom(index + 1));
  };
  await runFrom(0);
};
