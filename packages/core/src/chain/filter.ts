/** Hands the exchange to the rest of the chain; resolves once it is answered. */
export type NextFilter = () => Promise<void>;

/** One step of a request's way. Throws a GoldcrestError to refuse. */
export abstract class ChainFilter<Exchange> {
  abstract readonly name: string;

  abstract handle(exchange: Exchange, next: NextFilter): Promise<void>;
}

/** Runs an exchange through filters in their order. */
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
