import {
  attemptStatusSchema,
  claimRecordSchema,
  claimReplySchema,
  claimRequestSchema,
  settlementRecordSchema,
} from '@goldcrestscale/core';
import type { AttemptId, BootId } from '@goldcrestscale/core';
import { z } from 'zod';
import { defineMessage } from '../../mesh/index.js';

/** Messages between entry VMs about unrepeatable requests. */

const statusRequestSchema = z.strictObject({
  attemptId: z.string().transform((value) => value as AttemptId),
  bootId: z.string().transform((value) => value as BootId),
});
const doneSchema = z.strictObject({});

/** Claims a key at the VM that serves its shard. */
export const claimMessage = defineMessage('once/claim', claimRequestSchema, claimReplySchema);

/** Waits until a claim has an outcome or is released. */
export const waitMessage = defineMessage('once/wait', claimRecordSchema, doneSchema);

/** Has an outcome or a release appended. */
export const settleMessage = defineMessage('once/settle', settlementRecordSchema, doneSchema);

/** Asks a claimant for the state of its attempt. */
export const statusMessage = defineMessage('once/status', statusRequestSchema, attemptStatusSchema);
