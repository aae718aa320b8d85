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
  /** Decode rate of each running completion. */
  decodeTokensPerSecond: z.number().positive().default(200),
  maxConcurrent: z.number().int().positive().default(8),
  queueLimit: z.number().int().min(0).default(64),
  /** Concurrent requests that the engine can handle while cold; one more makes it crash. */
  coldConcurrent: z.number().int().min(0).default(2),
  /** Number of completed requests after which the engine is warm. */
  coldCompletions: z.number().int().min(0).default(8),
  cacheCapacityBlocks: z.number().int().positive().default(256),
  /** Size of one exported KV block. */
  blockBytes: z.number().int().positive().default(65_536),
  weightLoadMs: z.number().min(0).default(200),
  /** Weight store to load from; without one, a load takes just `weightLoadMs`. */
  weightStoreUrl: z.string().optional(),
  /** Time after a crash or restart in which requests are dropped. */
  restartMs: z.number().min(0).default(300),
  checksFencing: z.boolean().default(false),
  seed: z.number().int().default(1),
});

export type EngineSettings = z.output<typeof engineSettingsSchema>;
