import type { Exchange } from './exchange.js';

/** Hands the exchange to the rest of the chain; resolves once it is answered. */
export type NextFilter = () => Promise<void>;

/** One step of a request's way. Throws a GoldcrestError to refuse. */
export abstract class Filter {
  abstract readonly name: string;

  abstract handle(exchange: Exchange, next: NextFilter): Promise<void>;
}
