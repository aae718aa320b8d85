import { readFile } from 'node:fs/promises';
import { z } from 'zod';
import type { AvailabilityZoneId, RegionId, VmId } from '@goldcrestscale/core';

const SECOND_MS = 1_000;

const addressSchema = z
  .string()
  .regex(/^[\w.:[\]-]+:\d{1,5}$/, 'use HOST:PORT, for example "10.0.0.4:8080"');

const positive = z.number().positive();

// Unknown fields are ignored, so that newer platforms can add some.
const settingsSchema = z.object({
  vmId: z.string().min(1).describe('name of this VM, unique in the fleet'),
  availabilityZone: z.string().min(1).describe('availability zone of this VM'),
  zones: z.record(z.string(), z.string()).describe('region of each availability zone'),
  firstStart: z
    .boolean()
    .default(false)
    .describe('whether the whole fleet starts for the first time'),
  machine: z
    .object({
      cores: positive.describe('processor cores'),
      coreShare: positive.describe('part of each core that the process gets'),
      linkMbps: positive.describe('bandwidth, in megabits a second'),
    })
    .default({ cores: 1, coreShare: 1, linkMbps: 1_000 }),
  listen: z.object({
    callers: addressSchema.describe('listener for callers'),
    readiness: addressSchema.describe("listener for the platform's readiness checks"),
    mesh: addressSchema.describe('socket for datagrams of the other entry VMs'),
    directory: addressSchema.describe('listener for callers that ask which address to use'),
    metrics: addressSchema.optional().describe('listener for metrics, beside the two above'),
  }),
  log: z.object({
    address: addressSchema.describe("address of the platform's log"),
    leaseMs: positive.describe('time for which a lease lasts, in milliseconds'),
  }),
  bounds: z.object({
    shutdownSeconds: positive.describe('time from the signal to the end of the process'),
    retryRatio: z.number().nonnegative().describe('repeats for each first request'),
    retryAllowance: z.number().nonnegative().describe('repeats beside the ratio, over the fleet'),
    retryWindowSeconds: positive.describe('window in which repeats are counted'),
    coldOverrun: positive.describe("factor on the rate of a cold upstream's requests"),
    coldSlack: z.number().nonnegative().describe('requests above that rate in a second'),
    weightsInForceMs: positive.describe('time within which new weights are in force'),
    directoryTtlSeconds: positive.describe('longest time for which callers keep an address'),
  }),
});

/** Limits that apply to the whole fleet. */
export interface FleetBounds {
  readonly shutdownMs: number;
  readonly retryRatio: number;
  readonly retryAllowance: number;
  readonly retryWindowMs: number;
  readonly coldOverrun: number;
  readonly coldSlack: number;
  readonly weightsInForceMs: number;
  readonly directoryTtlMs: number;
}

/** Validated settings of the gateway. */
export interface GatewaySettings {
  readonly vmId: VmId;
  readonly availabilityZone: AvailabilityZoneId;
  readonly regions: ReadonlyMap<AvailabilityZoneId, RegionId>;
  readonly listen: {
    readonly callers: string;
    readonly readiness: string;
    readonly directory: string;
    readonly mesh: string;
    readonly metrics: string | undefined;
  };
  /** Whether the whole fleet is starting for the first time. */
  readonly isFirstStart: boolean;
  /** Cores times bandwidth; a capacity measure for comparing VMs. */
  readonly capacityScore: number;
  readonly logAddress: string;
  readonly leaseMs: number;
  readonly bounds: FleetBounds;
}

/** Thrown for invalid settings; the message lists each problem and its path. */
export class GatewaySettingsError extends Error {
  override readonly name = 'GatewaySettingsError';
}

/**
 * Validates settings and converts them to their internal form.
 *
 * @throws GatewaySettingsError
 */
export const resolveGatewaySettings = (value: unknown): GatewaySettings => {
  const parsed = settingsSchema.safeParse(value);
  if (!parsed.success) {
    const problems = parsed.error.issues.map(
      ({ path, message }) => `${path.join('.')}: ${message}`,
    );
    throw new GatewaySettingsError(`Invalid settings: ${problems.join('; ')}`);
  }
  const { vmId, availabilityZone, zones, machine, listen, log, bounds } = parsed.data;
  return {
    vmId: vmId as VmId,
    availabilityZone: availabilityZone as AvailabilityZoneId,
    regions: new Map(
      Object.entries(zones).map(([zone, region]) => [
        zone as AvailabilityZoneId,
        region as RegionId,
      ]),
    ),
    isFirstStart: parsed.data.firstStart,
    capacityScore: machine.cores * machine.coreShare * machine.linkMbps,
    listen: { ...listen, metrics: listen.metrics },
    logAddress: log.address,
    leaseMs: log.leaseMs,
    bounds: {
      shutdownMs: bounds.shutdownSeconds * SECOND_MS,
      retryRatio: bounds.retryRatio,
      retryAllowance: bounds.retryAllowance,
      retryWindowMs: bounds.retryWindowSeconds * SECOND_MS,
      coldOverrun: bounds.coldOverrun,
      coldSlack: bounds.coldSlack,
      weightsInForceMs: bounds.weightsInForceMs,
      directoryTtlMs: bounds.directoryTtlSeconds * SECOND_MS,
    },
  };
};

/**
 * Reads and validates a settings file.
 *
 * @throws GatewaySettingsError
 */
export const loadGatewaySettings = async (path: string): Promise<GatewaySettings> => {
  let value: unknown;
  try {
    value = JSON.parse(await readFile(path, 'utf8'));
  } catch (cause) {
    throw new GatewaySettingsError(`Could not read ${path} as JSON: ${String(cause)}`, { cause });
  }
  return resolveGatewaySettings(value);
};
