import { z } from 'zod';
import type { BootId, VmId } from '../ids.js';

/** One run of the daemon on one VM, as a holder of leases. */
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

/** Renews everything that a holder has; it restates what that is, so that old records may go. */
const renewSchema = z.object({
  type: z.literal('renew'),
  ...holderFields,
  sequence: z.number(),
  durationMs: z.number().positive(),
  owned: z.array(ownedSchema),
});

/** Takes a resource over, unless its owner has renewed since `expectedRenewalOffset`. */
const claimSchema = z.object({
  type: z.literal('claim'),
  ...holderFields,
  resource: z.string(),
  /** Epoch of the ownership to replace; -1 where there is none. */
  expectedEpoch: z.number(),
  /** Newest renewal of that owner which the claimer has seen; -1 where there is none. */
  expectedRenewalOffset: z.number(),
});

const releaseSchema = z.object({
  type: z.literal('release'),
  ...holderFields,
  resource: z.string(),
  epoch: z.number(),
});

const leaseRecordSchema = z.discriminatedUnion('type', [renewSchema, claimSchema, releaseSchema]);

/** Record of the lease stream. */
export type LeaseRecord = z.output<typeof leaseRecordSchema>;
export type LeaseRenewRecord = Extract<LeaseRecord, { type: 'renew' }>;
export type LeaseClaimRecord = Extract<LeaseRecord, { type: 'claim' }>;
export type LeaseReleaseRecord = Extract<LeaseRecord, { type: 'release' }>;

/** Parses a record of the lease stream; undefined where it is something else. */
export const parseLeaseRecord = (value: unknown): LeaseRecord | undefined =>
  leaseRecordSchema.safeParse(value).data;

/** Tells whether two values name the same run of the same VM. */
export const isSameHolder = (left: LeaseHolder, right: LeaseHolder): boolean =>
  left.vmId === right.vmId && left.bootId === right.bootId;
