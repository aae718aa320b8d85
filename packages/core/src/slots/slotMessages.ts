import { z } from 'zod';
import type { BootId, UpstreamId } from '../ids.js';

/** What a VM tells the granter of one run of an upstream, and asks of it. */
export const slotReportSchema = z.object({
  upstreamId: z
    .string()
    .min(1)
    .max(128)
    .transform((value) => value as UpstreamId),
  /** Run of the upstream that the slots are for. */
  bootId: z
    .string()
    .min(1)
    .max(128)
    .transform((value) => value as BootId),
  /** Grows with each report of the same VM. */
  sequence: z.int().positive(),
  /** Most requests that the VM may have in flight under what it was granted. */
  slots: z.int().min(0),
  /** Requests in flight. */
  inFlight: z.int().min(0),
  /** Requests that have completed since the upstream started. */
  completed: z.int().min(0),
  /** Slots wanted in addition. */
  wanted: z.int().min(0),
  /** Whether the upstream has said that this run of it is warm. */
  isWarm: z.boolean(),
  maxConcurrent: z.int().positive(),
  coldConcurrent: z.int().min(0),
});

export type SlotReport = z.output<typeof slotReportSchema>;

/** Granter's answer to a report. */
export const slotGrantSchema = z.object({
  sequence: z.int().positive(),
  granted: z.int().min(0),
  /** Slots that the VM should not exceed, in fairness to the others. */
  limit: z.int().min(0),
});

export type SlotGrant = z.output<typeof slotGrantSchema>;
