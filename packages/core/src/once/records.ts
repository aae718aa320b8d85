import { z } from 'zod';
import type { AttemptId, BootId, ClientAccountId, IdempotencyKey, VmId } from '../ids.js';
import type { RequestDigest } from './onceKey.js';

/** Records of a shard's log stream. */

const MAX_ID_LENGTH = 128;

const createTextSchema = <Id>() =>
  z
    .string()
    .min(1)
    .max(MAX_ID_LENGTH)
    .transform((value) => value as Id);

const attemptFields = {
  accountId: createTextSchema<ClientAccountId>(),
  key: createTextSchema<IdempotencyKey>(),
  attemptId: createTextSchema<AttemptId>(),
};

/** A claim; the first one of a key in the log's order may run. */
export const claimRecordSchema = z.strictObject({
  type: z.literal('claim'),
  ...attemptFields,
  digest: createTextSchema<RequestDigest>(),
  /** VM and run of the process that may dispatch the attempt. */
  vmId: createTextSchema<VmId>(),
  bootId: createTextSchema<BootId>(),
});

/** Answer as it is repeated to a repeated request. */
export const storedAnswerSchema = z.strictObject({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
});

/** How the run of an attempt ended. */
export const runOutcomeSchema = z.strictObject({
  verdict: z.enum(['may-have-run', 'ran']),
  /** SHA-256 of the answer's body, in hexadecimal. */
  answerDigest: z.string().exactOptional(),
  /** Absent where the answer was too large to keep. */
  answer: storedAnswerSchema.exactOptional(),
});

export const outcomeRecordSchema = z.strictObject({
  type: z.literal('outcome'),
  ...attemptFields,
  outcome: runOutcomeSchema,
});

/** Withdraws an attempt that has not run and never will. */
export const releaseRecordSchema = z.strictObject({ type: z.literal('release'), ...attemptFields });

export const settlementRecordSchema = z.discriminatedUnion('type', [
  outcomeRecordSchema,
  releaseRecordSchema,
]);

export const onceRecordSchema = z.discriminatedUnion('type', [
  claimRecordSchema,
  outcomeRecordSchema,
  releaseRecordSchema,
]);

export type ClaimRecord = z.output<typeof claimRecordSchema>;
export type OutcomeRecord = z.output<typeof outcomeRecordSchema>;
export type ReleaseRecord = z.output<typeof releaseRecordSchema>;
export type SettlementRecord = z.output<typeof settlementRecordSchema>;
export type RunOutcome = z.output<typeof runOutcomeSchema>;
export type StoredAnswer = z.output<typeof storedAnswerSchema>;
