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

/** Messages between entry VMs about claims of non-idempotent requests. */

const statusRequestSchema = z.strictObject({
  attemptId: z.string().transform((value) => value as AttemptId),
  bootId: z.string().transform((value) => value as BootId),
});
const emptyReplySchema = z.strictObject({});

/** Claims an idempotency key at the VM that serves its shard. */
export const claimMessage = defineMessage('once/claim', claimRequestSchema, claimReplySchema);

/** Waits until a claim has an outcome or has been released. */
export const waitMessage = defineMessage('once/wait', claimRecordSchema, emptyReplySchema);

/** Requests that an outcome or a release be appended to the log of the shard. */
export const settleMessage = defineMessage('once/settle', settlementRecordSchema, emptyReplySchema);

/** Queries the VM that holds a claim for the status of its attempt. */
export const statusMessage = defineMessage('once/status', statusRequestSchema, attemptStatusSchema);
