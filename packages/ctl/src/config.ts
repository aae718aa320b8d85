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
    .describe('Services of the platform; needed by every command on the table.'),
  entries: z
    .array(addressSchema)
    .default([])
    .describe('Addresses of entry VMs that `entries` asks, in order.'),
  operations: z
    .strictObject({
      address: addressSchema.describe("Address of an entry's operations listener."),
      key: secretReferenceSchema.describe('Key of the operations listener.'),
    })
    .optional()
    .describe('Operations listener that `state` reads.'),
  editTimeoutMs: z
    .number()
    .int()
    .min(100)
    .max(600_000)
    .default(DEFAULT_EDIT_TIMEOUT_MS)
    .describe('Time that an edit may take until it is read back, in milliseconds.'),
  log: logSettingsSchema,
});

/** Resolved settings of goldcrestctl. */
export type CtlSettings = z.output<typeof ctlSettingsSchema>;
