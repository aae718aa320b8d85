import { InputBarrier } from './inputBarrier.js';

/** Age of the input from which the sockets are polled once more, in milliseconds. */
const MAX_INPUT_AGE_MS = 200;

/** Calls back after all sockets have been polled. */
const poll = (callback: () => void, canRepeat = true): void => {
  const startedAtMs = performance.now();
  setImmediate(() => {
    // The process may have been stopped since the poll. Only once: a slow event loop has to go on.
    const isOutdated = performance.now() - startedAtMs > MAX_INPUT_AGE_MS;
    if (isOutdated && canRepeat) poll(callback, false);
    else callback();
  });
};

/** Orders work by the phases of the event loop: each turn polls all sockets, then runs immediates. */
export class EventLoopBarrier extends InputBarrier {
  override run<Result>(work: () => Result): Promise<Result> {
    return new Promise((resolve, reject) => {
      const finish = (): void => {
        try {
          resolve(work());
        } catch (error) {
          reject(error instanceof Error ? error : new Error(String(error)));
        }
      };
      // The current turn may have polled a socket before its input arrived.
      setImmediate(() => poll(finish));
    });
  }
}
