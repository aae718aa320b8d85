import { z } from 'zod';
import { claimRecordSchema, releaseRecordSchema, executionOutcomeSchema } from './records.js';

/** Messages from an entry VM to the VM that serves a shard or to a claimant. */

export const claimRequestSchema = z.strictObject({
  claim: claimRecordSchema,
  /** Releases of attempts that their claimants have abandoned; appended before the claim. */
  releases: z.array(releaseRecordSchema),
});

export const claimReplySchema = z.discriminatedUnion('type', [
  /** The attempt may run. */
  z.strictObject({ type: z.literal('won') }),
  /** Another attempt holds the key. */
  z.strictObject({
    type: z.literal('held'),
    holder: claimRecordSchema,
    outcome: executionOutcomeSchema.exactOptional(),
  }),
  z.strictObject({ type: z.literal('expired') }),
  z.strictObject({ type: z.literal('future') }),
  /** Nothing was appended. */
  z.strictObject({
    type: z.literal('unavailable'),
    code: z.enum(['log_unavailable', 'replaying']),
    retryAfterMs: z.number(),
  }),
  /** The claim may still appear in the log; the attempt must be abandoned. */
  z.strictObject({ type: z.literal('unsettled') }),
]);

/** Status of an attempt as reported by its claimant. */
export const attemptStatusSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('active') }),
  z.strictObject({ type: z.literal('abandoned') }),
  z.strictObject({ type: z.literal('done'), outcome: executionOutcomeSchema }),
  /** Unknown to the claimant: its process has restarted, or the attempt was settled long ago. */
  z.strictObject({ type: z.literal('gone') }),
]);

export type ClaimRequest = z.output<typeof claimRequestSchema>;
export type ClaimReply = z.output<typeof claimReplySchema>;
export type AttemptStatus = z.output<typeof attemptStatusSchema>;
