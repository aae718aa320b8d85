import type { Server } from 'node:net';
import { sleep } from '@goldcrestscale/core';
import type { LogFields } from './logger/logger.js';

/** Address on which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Options of `listen` and `bindAddress`. */
export interface ListenOptions {
  readonly logger: { readonly warn: (message: string, fields?: LogFields) => void };
  /** Ends the wait for an address. */
  readonly signal: AbortSignal;
}

/** Options of `listen`. */
export interface ServerListenOptions extends ListenOptions {
  /** Called with each error after the server listens, for example if it could not accept. */
  readonly onError: (error: Error) => void;
}

/** Maximum time for which a start waits until an address is free, in milliseconds. */
export const ADDRESS_WAIT_MS = 15_000;

/** Delay before the first repeated attempt, doubled after each, in milliseconds. */
const FIRST_RETRY_MS = 50;

const MAX_RETRY_MS = 500;

/**
 * Connections that wait in the kernel until the process accepts them. The default of the runtime, 511,
 * is full at once when many callers come together, or while the process stands still.
 */
const MAX_WAITING_CONNECTIONS = 4_096;

/** Errors of an address that another socket has, or that the machine does not have yet. */
const PASSING_ERRORS: ReadonlySet<string | undefined> = new Set(['EADDRINUSE', 'EADDRNOTAVAIL']);

/** Thrown if an address can't be used; the message tells what to do. */
export class ListenError extends Error {
  override readonly name = 'ListenError';

  constructor({ host, port }: ListenAddress, cause: unknown) {
    const remedy = 'end the process that uses the address, or choose another one in the settings';
    super(`could not listen on ${host}:${port}: ${String(cause)}; ${remedy}`, { cause });
  }
}

/**
 * Binds a socket to an address, and waits while the address is in use or not there yet. Resolves
 * without being bound if the signal aborts.
 *
 * @throws ListenError
 */
export const bindAddress = async (
  address: ListenAddress,
  { logger, signal }: ListenOptions,
  bind: () => Promise<void>,
): Promise<void> => {
  const deadlineAtMs = performance.now() + ADDRESS_WAIT_MS;
  for (let delayMs = FIRST_RETRY_MS; !signal.aborted;) {
    try {
      await bind();
      return;
    } catch (cause) {
      const isPassing = PASSING_ERRORS.has((cause as NodeJS.ErrnoException).code);
      if (!isPassing || performance.now() + delayMs > deadlineAtMs) {
        throw new ListenError(address, cause);
      }
      const { host, port } = address;
      logger.warn('waiting for an address', { host, port, delayMs, error: String(cause) });
      await sleep(delayMs, signal);
      delayMs = Math.min(delayMs * 2, MAX_RETRY_MS);
    }
  }
};

const listenOnce = (server: Server, { host, port }: ListenAddress): Promise<void> =>
  new Promise((resolve, reject) => {
    const handleListening = (): void => {
      // eslint-disable-next-line @typescript-eslint/no-use-before-define -- the listeners refer to each other
      server.off('error', handleError);
      resolve();
    };
    const handleError = (error: Error): void => {
      server.off('listening', handleListening);
      reject(error);
    };
    server.once('error', handleError);
    server.once('listening', handleListening);
    server.listen(port, host, MAX_WAITING_CONNECTIONS);
  });

/** Starts a server, as `bindAddress` does. Later errors of the server are passed on, not thrown. */
export const listen = async (
  server: Server,
  address: ListenAddress,
  options: ServerListenOptions,
): Promise<void> => {
  await bindAddress(address, options, () => listenOnce(server, address));
  server.on('error', options.onError);
};
