import { z } from 'zod';
import type { BootId, UpstreamId } from '../ids.js';

/** Report and slot request that a VM sends to the granter of one upstream boot. */
export const slotReportSchema = z.object({
  upstreamId: z
    .string()
    .min(1)
    .max(128)
    .transform((value) => value as UpstreamId),
  /** Boot of the upstream that the slots apply to. */
  bootId: z
    .string()
    .min(1)
    .max(128)
    .transform((value) => value as BootId),
  /** Increases with each report of the same VM. */
  sequence: z.int().positive(),
  /** Maximum number of requests that the VM may have in flight under its grants. */
  slots: z.int().min(0),
  inFlight: z.int().min(0),
  /** Requests completed since the upstream started. */
  completed: z.int().min(0),
  /** Additional slots requested. */
  wanted: z.int().min(0),
  /** Whether the upstream has reported this boot as warm. */
  isWarm: z.boolean(),
  maxConcurrent: z.int().positive(),
  coldConcurrent: z.int().min(0),
});

export type SlotReport = z.output<typeof slotReportSchema>;

/** Granter's response to a report. */
export const slotGrantSchema = z.object({
  sequence: z.int().positive(),
  granted: z.int().min(0),
  /** Fair limit on the slots that the VM may use. */
  limit: z.int().min(0),
});

export type SlotGrant = z.output<typeof slotGrantSchema>;
