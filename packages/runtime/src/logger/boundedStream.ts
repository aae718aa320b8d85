import { write } from 'node:fs';
import { Writable } from 'node:stream';

/** Bytes that may wait for a slow reader before lines are dropped. */
const MAX_PENDING_BYTES = 256 * 1024;

/** A stream to a file descriptor that never blocks: lines are dropped where the reader is slow. */
export interface BoundedStream {
  readonly stream: Writable;
  /** Lines dropped since the start. */
  readonly countDropped: () => number;
}

/** Creates a stream to a file descriptor, for example 1 for standard output. */
export const createBoundedStream = (descriptor: number): BoundedStream => {
  let pending: Buffer[] = [];
  let pendingBytes = 0;
  let dropped = 0;
  let isWriting = false;
  const flush = (): void => {
    if (isWriting || pendingBytes === 0) return;
    const batch = Buffer.concat(pending);
    pending = [];
    isWriting = true;
    write(descriptor, batch, 0, batch.length, (error, written) => {
      isWriting = false;
      pendingBytes -= batch.length;
      if (error && error.code !== 'EAGAIN') return;
      const rest = batch.subarray(error ? 0 : written);
      if (rest.length > 0) {
        pending.unshift(rest);
        pendingBytes += rest.length;
      }
      if (error) setTimeout(flush, 10);
      else flush();
    });
  };
  const stream = new Writable({
    decodeStrings: true,
    write(chunk: Buffer, _encoding, callback) {
      if (pendingBytes + chunk.length > MAX_PENDING_BYTES) dropped += 1;
      else {
        pending.push(chunk);
        pendingBytes += chunk.length;
        flush();
      }
      callback();
    },
  });
  return { stream, countDropped: () => dropped };
};
