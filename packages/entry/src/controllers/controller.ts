/**
 * Background component that keeps one part of the daemon's state current until its signal aborts.
 */
export abstract class Controller {
  /** Prefix of its log lines, and its key in the state dump. */
  abstract readonly name: string;

  /** Starts the controller; resolves once the initial state is loaded or has timed out. */
  abstract start(signal: AbortSignal): Promise<void>;

  /** Returns the state for `/state`: without secrets, account data keyed by client account. */
  abstract dump(): unknown;
}
