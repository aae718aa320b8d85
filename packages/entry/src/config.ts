import { MAX_CLOCK_SKEW_MS, IDEMPOTENCY_WINDOW_MS } from '@goldcrestscale/core';
import type { AvailabilityZoneId, VmId } from '@goldcrestscale/core';
import { logSettingsSchema, secretReferenceSchema } from '@goldcrestscale/runtime';
import { z } from 'zod';
import {
  DEFAULT_LOG_RETENTION_MS,
  DEFAULT_CLAIM_APPENDS_PER_SECOND,
  DEFAULT_CLAIM_SHARD_COUNT,
  DEFAULT_WEIGHT_LOADS_PER_MINUTE,
  DEFAULT_ENTRIES_TTL_MS,
  DEFAULT_MEMORY_MB,
} from './constants.js';

const MAX_PORT = 65_535;
const MAX_SHARD_COUNT = 1_024;
const MAX_ENTRIES_TTL_MS = 60_000;
const ID_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const portSchema = z.number().int().min(0).max(MAX_PORT);

const addressSchema = z
  .string()
  .regex(/^[\w.:[\]-]+:\d{1,5}$/, 'use HOST:PORT, for example "10.0.0.4:8080"');

const listenSchema = z.strictObject({
  host: z.string().min(1).default('0.0.0.0').describe('IP number to listen on'),
  port: portSchema.describe('TCP port to listen on; 0 picks a free one'),
});

const settingsObjectSchema = z.strictObject({
  vmId: z
    .string()
    .regex(ID_PATTERN)
    .transform((value) => value as VmId)
    .describe('name of this VM, unique in the fleet'),
  availabilityZone: z
    .string()
    .regex(ID_PATTERN)
    .transform((value) => value as AvailabilityZoneId)
    .describe('availability zone of this VM'),
  listen: listenSchema.describe('listener for callers'),
  advertise: addressSchema.describe('address that callers are told to use'),
  operations: listenSchema
    .extend({ key: secretReferenceSchema })
    .describe('listener for operators: health, metrics, state'),
  mesh: listenSchema
    .extend({
      advertise: addressSchema.describe('address that the other entry VMs use'),
      secret: secretReferenceSchema,
    })
    .describe('listener for the other entry VMs'),
  platform: z
    .strictObject({
      logUrl: z.url().describe('append-only log service'),
      vmListUrl: z.url().describe('VM list'),
      weightStoreUrl: z.url().describe('weight store'),
      logRetentionMs: z
        .number()
        .int()
        .positive()
        .default(DEFAULT_LOG_RETENTION_MS)
        .describe('time for which the log keeps records, in milliseconds'),
      weightLoadsPerMinute: z
        .number()
        .positive()
        .default(DEFAULT_WEIGHT_LOADS_PER_MINUTE)
        .describe('loads a minute that the weight store allows over the whole fleet'),
    })
    .describe("the platform's services"),
  fleetSecret: secretReferenceSchema.describe(
    'secret from which the block keys of all accounts derive',
  ),
  entriesTtlMs: z
    .number()
    .int()
    .min(100)
    .max(MAX_ENTRIES_TTL_MS)
    .default(DEFAULT_ENTRIES_TTL_MS)
    .describe('time that callers may keep an answer of /v1/entries, in milliseconds'),
  memoryMb: z
    .number()
    .positive()
    .default(DEFAULT_MEMORY_MB)
    .describe('memory of the process, in megabytes; a fifth of it is for the bodies of requests'),
  once: z
    .strictObject({
      shardCount: z
        .number()
        .int()
        .min(1)
        .max(MAX_SHARD_COUNT)
        .default(DEFAULT_CLAIM_SHARD_COUNT)
        .describe('log streams that hold the claims; the same on every VM'),
      appendsPerSecond: z
        .number()
        .positive()
        .default(DEFAULT_CLAIM_APPENDS_PER_SECOND)
        .describe('most appends a second of this VM to those streams'),
      windowMs: z
        .number()
        .int()
        .positive()
        .default(IDEMPOTENCY_WINDOW_MS)
        .describe('age up to which an idempotency key is accepted; the same on every VM'),
    })
    .prefault({})
    .describe('unrepeatable requests'),
  log: logSettingsSchema,
});

/** Settings file of the entry daemon. */
export const entrySettingsSchema = settingsObjectSchema.refine(
  (settings) => settings.platform.logRetentionMs > settings.once.windowMs + 2 * MAX_CLOCK_SKEW_MS,
  {
    path: ['platform', 'logRetentionMs'],
    message: `must be more than once.windowMs and twice the clock allowance of ${MAX_CLOCK_SKEW_MS} ms`,
  },
);

/** Resolved settings of the entry daemon. */
export type EntrySettings = Readonly<z.output<typeof entrySettingsSchema>>;
