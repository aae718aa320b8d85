/** Client of the entry VMs. */
export * from './completionChunk.js';
export * from './attempt.js';
export * from './buildPayload.js';
export * from './isExpectedResponse.js';
export * from './entryDirectory.js';
export * from './eventStream.js';
export * from './idempotencyKey.js';
export * from './requestRunner.js';
export * from './attemptSender.js';
