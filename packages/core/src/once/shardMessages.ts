import { z } from 'zod';
import { claimRecordSchema, releaseRecordSchema, runOutcomeSchema } from './records.js';

/** Messages between an entry VM and the VM that serves a shard, and to a claimant. */

export const claimRequestSchema = z.strictObject({
  claim: claimRecordSchema,
  /** Attempts that their claimants have abandoned; they are released before the claim. */
  releases: z.array(releaseRecordSchema),
});

export const claimReplySchema = z.discriminatedUnion('type', [
  /** The attempt may run. */
  z.strictObject({ type: z.literal('won') }),
  /** Another attempt holds the key. */
  z.strictObject({
    type: z.literal('held'),
    holder: claimRecordSchema,
    outcome: runOutcomeSchema.exactOptional(),
  }),
  z.strictObject({ type: z.literal('expired') }),
  z.strictObject({ type: z.literal('future') }),
  /** Nothing was appended. */
  z.strictObject({
    type: z.literal('unavailable'),
    code: z.enum(['log_unavailable', 'replaying']),
    retryAfterMs: z.number(),
  }),
  /** The claim may surface in the log later; the attempt must be abandoned. */
  z.strictObject({ type: z.literal('unsettled') }),
]);

/** What a claimant says of its attempt. */
export const attemptStatusSchema = z.discriminatedUnion('type', [
  z.strictObject({ type: z.literal('active') }),
  z.strictObject({ type: z.literal('abandoned') }),
  z.strictObject({ type: z.literal('done'), outcome: runOutcomeSchema }),
  /** The claimant does not know it: another run of the process, or long ago. */
  z.strictObject({ type: z.literal('gone') }),
]);

export type ClaimRequest = z.output<typeof claimRequestSchema>;
export type ClaimReply = z.output<typeof claimReplySchema>;
export type AttemptStatus = z.output<typeof attemptStatusSchema>;
