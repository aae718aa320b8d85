import { z } from 'zod';
import type {
  AvailabilityZoneId,
  ClientAccountId,
  ModelId,
  UpstreamId,
  WeightVersion,
  WorkloadId,
} from '../ids.js';

/**
 * Rows of the configuration table. Operators edit them; every entry VM applies them from the log.
 * Each schema is strict: unknown fields are rejected.
 */

const ID_PATTERN = /^[a-z0-9][a-z0-9._-]{0,62}$/;

const createIdSchema = <Id>() =>
  z
    .string()
    .regex(ID_PATTERN, 'use 1 to 63 characters of a-z, 0-9, dot, underscore and hyphen')
    .transform((value) => value as Id);

/** A client account: its API keys, its share of the fleet and its limits. */
export const clientAccountRowSchema = z.strictObject({
  kind: z.literal('account'),
  id: createIdSchema<ClientAccountId>(),
  /** SHA-256 digests of the account's API keys, in hexadecimal. */
  keyHashes: z.array(z.string().regex(/^[0-9a-f]{64}$/)).max(8),
  /** Weight of the account's share of the fleet under contention, relative to other accounts. */
  weight: z.number().positive().max(1000).default(1),
  /** Maximum requests per second across the fleet. */
  maxRequestsPerSecond: z.number().positive().max(1_000_000).optional(),
  /** Maximum concurrent requests across the fleet. */
  maxConcurrent: z.number().int().positive().max(1_000_000).optional(),
});

/** A workload of a client account: target, priority and limits of its requests. */
export const workloadRowSchema = z.strictObject({
  kind: z.literal('workload'),
  id: createIdSchema<WorkloadId>(),
  accountId: createIdSchema<ClientAccountId>(),
  /** Model that serves it; absent for a plain service. */
  model: createIdSchema<ModelId>().optional(),
  /** Plain service that serves it; absent for a model. */
  service: z.string().regex(ID_PATTERN).optional(),
  /** Priority class; 0 is the highest. */
  priority: z.number().int().min(0).max(9).default(5),
  /** Weight among the account's workloads of the same priority class. */
  weight: z.number().positive().max(1000).default(1),
  /** Time within which the response must have started, in milliseconds. */
  deadlineMs: z.number().int().positive().max(3_600_000).default(30_000),
  /** Whether a request may run more than once. */
  idempotent: z.boolean().default(true),
  /** Weight of the time to first token in routing, relative to `recomputeWeight`. */
  latencyWeight: z.number().min(0).max(100).default(1),
  /** Weight of avoided prompt recomputation in routing. */
  recomputeWeight: z.number().min(0).max(100).default(1),
});

/** A model and the weight version that new requests use. */
export const modelRowSchema = z.strictObject({
  kind: z.literal('model'),
  id: createIdSchema<ModelId>(),
  version: createIdSchema<WeightVersion>(),
});

/** An availability zone; a zone in state `out` receives no new requests. */
export const availabilityZoneRowSchema = z.strictObject({
  kind: z.literal('zone'),
  id: createIdSchema<AvailabilityZoneId>(),
  state: z.enum(['in', 'out']).default('in'),
});

/** Operator settings of an upstream; its address comes from the VM list. */
export const upstreamRowSchema = z.strictObject({
  kind: z.literal('upstream'),
  id: createIdSchema<UpstreamId>(),
  state: z.enum(['in', 'leaving']).default('in'),
  /** Maximum concurrent requests when warm. */
  maxConcurrent: z.number().int().positive().max(10_000).default(8),
  /** Maximum concurrent requests during a cold start. */
  coldConcurrent: z.number().int().min(0).max(10_000).default(2),
  /** Whether the upstream rejects orders with an outdated fencing token. */
  checksFencing: z.boolean().default(false),
});

/** A plain service and its non-idempotent calls. */
export const serviceRowSchema = z.strictObject({
  kind: z.literal('service'),
  id: z.string().regex(ID_PATTERN),
  /** Calls that must not be executed more than once; all other calls are idempotent. */
  unrepeatable: z
    .array(
      z.strictObject({
        method: z.enum(['GET', 'POST', 'PUT', 'PATCH', 'DELETE']),
        pathPrefix: z.string().startsWith('/'),
      }),
    )
    .default([]),
});

/** Any row of the table. */
export const rowSchema = z.discriminatedUnion('kind', [
  clientAccountRowSchema,
  workloadRowSchema,
  modelRowSchema,
  availabilityZoneRowSchema,
  upstreamRowSchema,
  serviceRowSchema,
]);

export type ClientAccountRow = z.output<typeof clientAccountRowSchema>;
export type WorkloadRow = z.output<typeof workloadRowSchema>;
export type ModelRow = z.output<typeof modelRowSchema>;
export type AvailabilityZoneRow = z.output<typeof availabilityZoneRowSchema>;
export type UpstreamRow = z.output<typeof upstreamRowSchema>;
export type ServiceRow = z.output<typeof serviceRowSchema>;
export type Row = z.output<typeof rowSchema>;
export type RowKind = Row['kind'];

/** Key of a row: its kind and id, for example "account/houtmeet". */
export type RowKey = `${RowKind}/${string}`;

/** Returns the key of a row. */
export const getRowKey = (row: Pick<Row, 'kind' | 'id'>): RowKey => `${row.kind}/${row.id}`;
