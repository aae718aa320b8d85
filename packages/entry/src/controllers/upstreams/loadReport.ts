import { z } from 'zod';

/** Load report that an engine or a plain service returns from `/load`. */
export const loadReportSchema = z.object({
  bootId: z.string(),
  model: z.string().optional(),
  weightVersion: z.string().optional(),
  role: z.string().optional(),
  state: z.enum(['serving', 'loading', 'leaving']).default('serving'),
  cold: z.boolean(),
  running: z.number().min(0),
  waiting: z.number().min(0),
  waitingPromptTokens: z.number().min(0).default(0),
  prefillTokensPerSecond: z.number().positive().default(1),
  maxConcurrent: z.number().positive(),
  coldConcurrent: z.number().min(0),
  ageMs: z.number().min(0).default(0),
});

export type LoadReport = z.output<typeof loadReportSchema>;
