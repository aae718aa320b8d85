import { z } from 'zod';

const MEGABYTE = 1_000_000;

/** Settings of one store VM. */
export const storeSettingsSchema = z.strictObject({
  vmId: z.string().default('store'),
  availabilityZone: z.string().default('zone-a'),
  memoryBytes: z
    .number()
    .positive()
    .default(32 * MEGABYTE),
  diskBytes: z
    .number()
    .positive()
    .default(128 * MEGABYTE),
  linkBytesPerSecond: z
    .number()
    .positive()
    .default(100 * MEGABYTE),
  diskBytesPerSecond: z
    .number()
    .positive()
    .default(50 * MEGABYTE),
});

export type StoreSettings = z.output<typeof storeSettingsSchema>;
