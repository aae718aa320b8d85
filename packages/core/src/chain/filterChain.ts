/** Invokes the rest of the filter chain; resolves once the exchange has been answered. */
export type NextFilter = () => Promise<void>;

/** A filter in the request processing chain. Throws a GoldcrestError to refuse a request. */
export abstract class ChainFilter<Exchange> {
  abstract readonly name: string;

  abstract handle(exchange: Exchange, next: NextFilter): Promise<void>;
}

/** Runs an exchange through the filters in order. */
export const runChain = async <Exchange>(
  filters: readonly ChainFilter<Exchange>[],
  exchange: Exchange,
): Promise<void> => {
  const runFrom = async (index: number): Promise<void> => {
    const filter = filters[index];
    if (filter) await filter.handle(exchange, () => runFrom(index + 1));
  };
  await runFrom(0);
};
