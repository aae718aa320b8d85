import { write } from 'node:fs';
import { Writable } from 'node:stream';
import { sleep } from '@goldcrestscale/core';

/** Maximum number of buffered bytes before lines are dropped. */
const MAX_PENDING_BYTES = 256 * 1024;

const FLUSH_POLL_MS = 5;

/** A stream to a file descriptor that never blocks: it drops lines if the reader is too slow. */
export interface NonBlockingStream {
  readonly stream: Writable;
  /** Counts the lines dropped so far. */
  readonly countDroppedLines: () => number;
  /** Waits until all lines are written, at most for this time. */
  readonly flush: (limitMs: number) => Promise<void>;
}

/** Creates a stream to a file descriptor, for example 1 for standard output. */
export const createNonBlockingStream = (descriptor: number): NonBlockingStream => {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let droppedLines = 0;
  let isWriting = false;
  const writePending = (): void => {
    if (isWriting || pendingBytes === 0) return;
    const batch = Buffer.concat(pending);
    pending = [];
    isWriting = true;
    write(descriptor, batch, 0, batch.length, (error, written) => {
      isWriting = false;
      pendingBytes -= batch.length;
      if (error && error.code !== 'EAGAIN') return;
      const unwritten = batch.subarray(error ? 0 : written);
      if (unwritten.length > 0) {
        pending.unshift(unwritten);
        pendingBytes += unwritten.length;
      }
      if (error) setTimeout(writePending, 10);
      else writePending();
    });
  };
  const stream = new Writable({
    decodeStrings: true,
    write(chunk: Buffer, _encoding, callback) {
      if (pendingBytes + chunk.length > MAX_PENDING_BYTES) droppedLines += 1;
      else {
        pending.push(chunk);
        pendingBytes += chunk.length;
        writePending();
      }
      callback();
    },
  });
  const flush = async (limitMs: number): Promise<void> => {
    const deadlineAtMs = performance.now() + limitMs;
    // The logger passes its lines on in later ticks.
    await sleep(0);
    while (pendingBytes > 0 && performance.now() < deadlineAtMs) await sleep(FLUSH_POLL_MS);
  };
  return { stream, countDroppedLines: () => droppedLines, flush };
};
