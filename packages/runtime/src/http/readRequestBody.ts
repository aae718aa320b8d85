import type { IncomingMessage } from 'node:http';
import { createRefusal } from '@goldcrestscale/core';
import type { GoldcrestErrorInstance } from '@goldcrestscale/core';
import { EventLoopBarrier } from '../eventLoop/index.js';
import { BodyBuffer } from './bodyBuffer.js';
import type { ByteReservation } from './byteReservation.js';
import { PartAllowance } from './partAllowance.js';
import { pauseSocket } from './pauseSocket.js';

/** Options for reading a request body. */
export interface ReadBodyOptions {
  readonly maxBytes: number;
  /** Takes the bytes of the body as they come. */
  readonly reservation: ByteReservation;
  /** Monotonic time at which the body must be complete. */
  readonly deadlineAtMs: number;
  readonly createTimeoutError: () => Error;
  /** Creates the error for a caller that leaves before its body is complete. */
  readonly createLeftError: () => Error;
}

/** Step in which the bytes of a declared length are reserved. */
const RESERVATION_STEP_BYTES = 65_536;

/** Other VMs may have memory, so that a retry need not wait long. */
const MEMORY_RETRY_AFTER_MS = 400;

const createTooLargeError = (maxBytes: number): GoldcrestErrorInstance =>
  createRefusal(`The body is larger than ${maxBytes} bytes.`, {
    code: 'body_too_large',
    status: 413,
  });

const createTooManyPartsError = (): GoldcrestErrorInstance =>
  createRefusal('The body comes in too many small chunks; send larger ones.', {
    code: 'body_parts_too_small',
    status: 400,
  });

const createNoMemoryError = (): GoldcrestErrorInstance =>
  createRefusal('This VM has no memory for the body now; try again.', {
    code: 'memory_full',
    status: 503,
    retryAfterMs: MEMORY_RETRY_AFTER_MS,
  });

const inputBarrier = new EventLoopBarrier();

/**
 * Calls back at a monotonic time, once all input has been read: after a pause of the process, the rest
 * of a body may be there and not have been read yet.
 *
 * @returns a function that cancels the call
 */
const scheduleAfterInput = (work: () => void, atMs: number): (() => void) => {
  let isCancelled = false;
  const timer = setTimeout(
    () => {
      void inputBarrier.run(() => {
        if (!isCancelled) work();
      });
    },
    Math.max(0, atMs - performance.now()),
  );
  return () => {
    isCancelled = true;
    clearTimeout(timer);
  };
};

const readDeclaredBytes = ({ headers }: IncomingMessage): number | undefined =>
  headers['content-length'] === undefined ? undefined : Number(headers['content-length']);

/**
 * Reads a complete request body. Its bytes are reserved as they come, because a length that is only
 * declared takes no memory. A body that is refused is read on and discarded, so that its caller can
 * read the response: a connection that is closed with unread bytes is reset. Only one that comes in too
 * many parts is not read on, which would take as much processor time as before.
 *
 * @throws GoldcrestError `body_too_large`, `body_parts_too_small`, the timeout error, or `memory_full` if
 *   the budget has no room for it
 */
export const readRequestBody = (
  request: IncomingMessage,
  { maxBytes, reservation, deadlineAtMs, createTimeoutError, createLeftError }: ReadBodyOptions,
): Promise<Buffer> =>
  new Promise((resolve, reject) => {
    const declaredBytes = readDeclaredBytes(request);
    let body: BodyBuffer | undefined = new BodyBuffer(declaredBytes);
    const allowance = new PartAllowance();
    /** Whether the rest is not even read and discarded. */
    let isStopped = false;
    let receivedBytes = 0;
    let reservedBytes = 0;
    const refuse = (error: Error): void => {
      if (!body) return;
      body = undefined;
      reservation.release();
      reject(error);
    };
    /** Computes the memory that a chunk takes; of a declared length, the next step at least. */
    const computeStep = (chunkBytes: number, buffer: BodyBuffer): number => {
      if (declaredBytes === undefined) return buffer.computeGrowth(chunkBytes);
      const missingBytes = receivedBytes - reservedBytes;
      if (missingBytes <= 0) return 0;
      return Math.min(
        declaredBytes - reservedBytes,
        Math.max(missingBytes, RESERVATION_STEP_BYTES),
      );
    };
    const addChunk = (chunk: Buffer, buffer: BodyBuffer): void => {
      const stepBytes = computeStep(chunk.length, buffer);
      reservedBytes += stepBytes;
      if (reservation.tryGrow(stepBytes, 'request_body')) buffer.add(chunk);
      else refuse(createNoMemoryError());
    };
    const cancelTimeout = scheduleAfterInput(() => refuse(createTimeoutError()), deadlineAtMs);
    const fail = (): void => {
      cancelTimeout();
      // Every request closes; the error is created only for one that is incomplete.
      if (!request.readableEnded) reject(createLeftError());
    };
    if ((declaredBytes ?? 0) > maxBytes) refuse(createTooLargeError(maxBytes));
    // Events, because leaving an async iteration early would destroy the caller's connection.
    request.on('data', (chunk: Buffer) => {
      if (isStopped) return;
      if (!allowance.tryTake(chunk.length)) {
        isStopped = true;
        refuse(createTooManyPartsError());
        pauseSocket(request.socket);
      }
      if (!body) return;
      receivedBytes += chunk.length;
      if (receivedBytes > maxBytes) refuse(createTooLargeError(maxBytes));
      else addChunk(chunk, body);
    });
    request.once('end', () => {
      cancelTimeout();
      if (body) resolve(body.build());
    });
    request.once('error', fail);
    request.once('close', fail);
  });
