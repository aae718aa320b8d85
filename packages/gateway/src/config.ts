import en from 'zod/v4/locales/en.js';
import * as z from 'zod/mini';
import type { AvailabilityZoneId, RegionId, VmId } from '@goldcrestscale/core';
import { computeBufferBytes, readSettingsFile } from '@goldcrestscale/runtime';
import type { ReadSettingsOptions } from '@goldcrestscale/runtime';

const SECOND_MS = 1_000;

z.config(en());

const addressSchema = z
  .string()
  .check(z.regex(/^[\w.:[\]-]+:\d{1,5}$/, 'use HOST:PORT, for example "10.0.0.4:8080"'));

const positive = z.number().check(z.positive());

const nonnegative = z.number().check(z.nonnegative());

const DEFAULT_MACHINE = {
  cores: 1,
  coreShare: 1,
  linkMbps: 1_000,
  memoryMb: undefined,
  fileDescriptors: undefined,
};

const DEFAULT_MEMORY_MB = 256;

// Unknown fields are ignored, so that newer platforms can add some.
const settingsSchema = z.object({
  /** Name of this VM, unique in the fleet. */
  vmId: z.string().check(z.minLength(1)),
  availabilityZone: z.string().check(z.minLength(1)),
  /** Region of each availability zone. */
  zones: z.record(z.string(), z.string()),
  /** Whether the whole fleet starts for the first time. */
  firstStart: z.optional(z.boolean()),
  /** Whether prompts wait for places while engines are short of them; off by default. */
  admission: z.optional(z.boolean()),
  machine: z.optional(
    z.object({
      cores: positive,
      /** Fraction of each core that the process gets. */
      coreShare: positive,
      linkMbps: positive,
      /** Memory of the process; above it, the process is killed. */
      memoryMb: z.optional(positive),
      /** Descriptors that the process may have open. */
      fileDescriptors: z.optional(positive),
    }),
  ),
  /** Listeners, as HOST:PORT. */
  listen: z.object({
    callers: addressSchema,
    /** The platform's readiness checks. */
    readiness: addressSchema,
    /** Datagrams and connections of the other entry VMs. */
    mesh: addressSchema,
    /** Callers that ask which address to use. */
    directory: addressSchema,
    metrics: z.optional(addressSchema),
  }),
  log: z.object({
    address: addressSchema,
    leaseMs: positive,
  }),
  bounds: z.object({
    /** Time from the signal to the end of the process. */
    shutdownSeconds: positive,
    /** Retries per first request. */
    retryRatio: nonnegative,
    /** Retries of the fleet in addition to the ratio. */
    retryAllowance: nonnegative,
    /** Window in which retries are counted. */
    retryWindowSeconds: positive,
    /** Factor on the request rate of a cold upstream. */
    coldOverrun: positive,
    /** Requests above that rate in a second. */
    coldSlack: nonnegative,
    /** Time within which new weights are in force. */
    weightsInForceMs: positive,
    /** Maximum time for which callers keep an address. */
    directoryTtlSeconds: positive,
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
  /** Bandwidth of this VM's link, in Mbit/s. */
  readonly linkMbps: number;
  /** Descriptors that the process may have open; undefined if the kernel tells. */
  readonly fileDescriptors: number | undefined;
  /** Limit of the bytes that are buffered for all callers together. */
  readonly bufferBytes: number;
  /** Whether prompts wait for places while engines are short of them. */
  readonly admission: boolean;
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
  const {
    vmId,
    availabilityZone,
    zones,
    machine = DEFAULT_MACHINE,
    listen,
    log,
    bounds,
  } = parsed.data;
  return {
    vmId: vmId as VmId,
    availabilityZone: availabilityZone as AvailabilityZoneId,
    regions: new Map(
      Object.entries(zones).map(([zone, region]) => [
        zone as AvailabilityZoneId,
        region as RegionId,
      ]),
    ),
    isFirstStart: parsed.data.firstStart ?? false,
    capacityScore: machine.cores * machine.coreShare * machine.linkMbps,
    linkMbps: machine.linkMbps,
    bufferBytes: computeBufferBytes(machine.memoryMb ?? DEFAULT_MEMORY_MB),
    admission: parsed.data.admission ?? false,
    fileDescriptors: machine.fileDescriptors,
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
export const loadGatewaySettings = async (
  path: string,
  options: ReadSettingsOptions = {},
): Promise<GatewaySettings> => {
  let value: unknown;
  try {
    value = await readSettingsFile(path, options);
  } catch (cause) {
    throw new GatewaySettingsError(
      `Could not read "${path}" as JSON: ${String(cause)}; write the complete file, then start again`,
      { cause },
    );
  }
  return resolveGatewaySettings(value);
};
