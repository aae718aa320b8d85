/** Keeps one part of the daemon's state current until its signal aborts. */
export abstract class Controller {
  /** Prefix of the log lines and name in the state dump. */
  abstract readonly name: string;

  /** Starts the work; resolves once the first state is there or known to be late. */
  abstract start(signal: AbortSignal): Promise<void>;

  /** Gives the state for `/state`, with account data partitioned by client account and no secrets. */
  abstract dump(): unknown;
}
