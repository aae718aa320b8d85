import { z } from 'zod';
import type { BootId, VmId } from '../ids.js';

/** One process instance on one VM, as a lease holder. */
export interface LeaseHolder {
  readonly vmId: VmId;
  readonly bootId: BootId;
}

const holderFields = {
  vmId: z
    .string()
    .min(1)
    .max(128)
    .transform((value) => value as VmId),
  bootId: z
    .string()
    .min(1)
    .max(128)
    .transform((value) => value as BootId),
};

const ownedSchema = z.object({ resource: z.string(), epoch: z.number() });

/** Renews all leases of a holder and restates them, so that older records may be trimmed. */
const renewSchema = z.object({
  type: z.literal('renew'),
  ...holderFields,
  sequence: z.number(),
  durationMs: z.number().positive(),
  owned: z.array(ownedSchema),
});

/** Takes over a resource unless its owner has renewed since `expectedRenewalOffset`. */
const claimSchema = z.object({
  type: z.literal('claim'),
  ...holderFields,
  resource: z.string(),
  /** Epoch of the ownership to replace; -1 if there is no owner. */
  expectedEpoch: z.number(),
  /** Newest renewal of that owner that the claimant has read; -1 if there is none. */
  expectedRenewalOffset: z.number(),
});

const releaseSchema = z.object({
  type: z.literal('release'),
  ...holderFields,
  resource: z.string(),
  epoch: z.number(),
});

const leaseRecordSchema = z.discriminatedUnion('type', [renewSchema, claimSchema, releaseSchema]);

/** A record of the lease stream. */
export type LeaseRecord = z.output<typeof leaseRecordSchema>;
export type LeaseRenewRecord = Extract<LeaseRecord, { type: 'renew' }>;
export type LeaseClaimRecord = Extract<LeaseRecord, { type: 'claim' }>;
export type LeaseReleaseRecord = Extract<LeaseRecord, { type: 'release' }>;

/** Parses a record of the lease stream; undefined if it is not a lease record. */
export const parseLeaseRecord = (value: unknown): LeaseRecord | undefined =>
  leaseRecordSchema.safeParse(value).data;

/** Whether two holders are the same process instance on the same VM. */
export const isSameHolder = (left: LeaseHolder, right: LeaseHolder): boolean =>
  left.vmId === right.vmId && left.bootId === right.bootId;
