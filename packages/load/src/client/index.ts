/** A caller of the system. */
export * from './answerFrame.js';
export * from './attempt.js';
export * from './buildPayload.js';
export * from './checkAnswer.js';
export * from './entryDirectory.js';
export * from './eventStream.js';
export * from './idempotencyKey.js';
export * from './requestRunner.js';
export * from './sendAttempt.js';
