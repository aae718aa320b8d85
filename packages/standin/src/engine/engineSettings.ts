import { z } from 'zod';

/** Settings of one model engine. */
export const engineSettingsSchema = z.strictObject({
  vmId: z.string().default('engine'),
  availabilityZone: z.string().default('zone-a'),
  model: z.string().default('house'),
  weightVersion: z.string().default('v1'),
  adapters: z.array(z.string()).default([]),
  role: z.string().default('both'),
  prefillTokensPerSecond: z.number().positive().default(20_000),
  /** Tokens a second of each running answer. */
  decodeTokensPerSecond: z.number().positive().default(200),
  maxConcurrent: z.number().int().positive().default(8),
  queueLimit: z.number().int().min(0).default(64),
  /** Requests that it bears at once while it is cold. */
  coldConcurrent: z.number().int().min(0).default(2),
  /** Completed requests after which it is warm. */
  coldCompletions: z.number().int().min(0).default(8),
  cacheCapacityBlocks: z.number().int().positive().default(256),
  /** Size of one exported block. */
  blockBytes: z.number().int().positive().default(65_536),
  weightLoadMs: z.number().min(0).default(200),
  /** Weight store from which it loads; absent: a load takes `weightLoadMs` alone. */
  weightStoreUrl: z.string().optional(),
  /** Time for which it takes no connection after a fall. */
  restartMs: z.number().min(0).default(300),
  checksFencing: z.boolean().default(false),
  seed: z.number().int().default(1),
});

export type EngineSettings = z.output<typeof engineSettingsSchema>;
