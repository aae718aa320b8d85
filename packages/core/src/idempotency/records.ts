import { z } from 'zod';
import type { AttemptId, BootId, ClientAccountId, IdempotencyKey, VmId } from '../ids.js';
import type { RequestDigest } from './idempotencyKey.js';

/** Records of a shard's log stream. */

const MAX_ID_LENGTH = 128;

const createIdSchema = <Id>() =>
  z
    .string()
    .min(1)
    .max(MAX_ID_LENGTH)
    .transform((value) => value as Id);

const attemptFields = {
  accountId: createIdSchema<ClientAccountId>(),
  key: createIdSchema<IdempotencyKey>(),
  attemptId: createIdSchema<AttemptId>(),
};

/** A claim; the first claim for a key in log order may execute. */
export const claimRecordSchema = z.strictObject({
  type: z.literal('claim'),
  ...attemptFields,
  digest: createIdSchema<RequestDigest>(),
  /** VM and process instance that may dispatch the attempt. */
  vmId: createIdSchema<VmId>(),
  bootId: createIdSchema<BootId>(),
});

/** Stored response that is replayed when the request is repeated. */
export const storedResponseSchema = z.strictObject({
  status: z.number().int(),
  headers: z.record(z.string(), z.string()),
  bodyBase64: z.string(),
});

/** Outcome of executing an attempt. */
export const executionOutcomeSchema = z.strictObject({
  verdict: z.enum(['may-have-run', 'ran']),
  /** SHA-256 of the response body, in hexadecimal. */
  answerDigest: z.string().exactOptional(),
  /** Absent if the response was too large to store. */
  answer: storedResponseSchema.exactOptional(),
});

export const outcomeRecordSchema = z.strictObject({
  type: z.literal('outcome'),
  ...attemptFields,
  outcome: executionOutcomeSchema,
});

/** Releases the claim of an attempt that has not run and never will. */
export const releaseRecordSchema = z.strictObject({ type: z.literal('release'), ...attemptFields });

export const settlementRecordSchema = z.discriminatedUnion('type', [
  outcomeRecordSchema,
  releaseRecordSchema,
]);

export const shardRecordSchema = z.discriminatedUnion('type', [
  claimRecordSchema,
  outcomeRecordSchema,
  releaseRecordSchema,
]);

export type ClaimRecord = z.output<typeof claimRecordSchema>;
export type OutcomeRecord = z.output<typeof outcomeRecordSchema>;
export type ReleaseRecord = z.output<typeof releaseRecordSchema>;
export type SettlementRecord = z.output<typeof settlementRecordSchema>;
export type ExecutionOutcome = z.output<typeof executionOutcomeSchema>;
export type StoredResponse = z.output<typeof storedResponseSchema>;
