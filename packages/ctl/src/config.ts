import { z } from 'zod';
import { addressSchema, logSettingsSchema, secretReferenceSchema } from '@goldcrestscale/runtime';
import { DEFAULT_EDIT_TIMEOUT_MS } from './constants.js';

/** Settings file of goldcrestctl. */
export const ctlSettingsSchema = z.strictObject({
  platform: z
    .strictObject({
      logUrl: z.url().describe('Address of the append-only log service.'),
    })
    .optional()
    .describe('Services of the platform; required by every command that reads or edits the table.'),
  entries: z
    .array(addressSchema)
    .default([])
    .describe('Addresses of the entry VMs that the `entries` command queries, in order.'),
  operations: z
    .strictObject({
      address: addressSchema.describe('Address of the operations listener of an entry VM.'),
      key: secretReferenceSchema.describe('Key of the operations listener.'),
    })
    .optional()
    .describe('Operations listener that the `state` command reads.'),
  editTimeoutMs: z
    .number()
    .int()
    .min(100)
    .max(600_000)
    .default(DEFAULT_EDIT_TIMEOUT_MS)
    .describe('Time limit for an edit to be read back from the log, in milliseconds.'),
  log: logSettingsSchema,
});

/** Resolved settings of goldcrestctl. */
export type CtlSettings = z.output<typeof ctlSettingsSchema>;
