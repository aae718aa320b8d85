declare const brand: unique symbol;

/** Branded (nominal) type over a primitive. */
export type Brand<Value, Name extends string> = Value & { readonly [brand]: Name };

/** Identifies a VM for its lifetime. */
export type VmId = Brand<string, 'VmId'>;

/** Identifies one boot of a process on a VM; changes with every restart. */
export type BootId = Brand<string, 'BootId'>;

/** Identifies an availability zone. */
export type AvailabilityZoneId = Brand<string, 'AvailabilityZoneId'>;

/** Identifies a client account. */
export type ClientAccountId = Brand<string, 'ClientAccountId'>;

/** Identifies a workload of a client account. */
export type WorkloadId = Brand<string, 'WorkloadId'>;

/** Identifies an upstream: a model engine, a store VM or a plain service. */
export type UpstreamId = Brand<string, 'UpstreamId'>;

/** Identifies a model. */
export type ModelId = Brand<string, 'ModelId'>;

/** Identifies a version of a model's weights. */
export type WeightVersion = Brand<string, 'WeightVersion'>;

/** Identifies a caller request. */
export type RequestId = Brand<string, 'RequestId'>;

/** Identifies one attempt at a request; each retry has its own. */
export type AttemptId = Brand<string, 'AttemptId'>;

/** Idempotency key supplied by a caller; unique only within its client account. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;

/** Identifies an edit of the configuration table. */
export type EditId = Brand<string, 'EditId'>;

/** Name of a stream of the append-only log. */
export type StreamName = Brand<string, 'StreamName'>;

/** Position of a record in a stream; the first record has offset 0. */
export type LogOffset = Brand<number, 'LogOffset'>;

/** Digest that identifies one prompt block of one client account. */
export type BlockKey = Brand<string, 'BlockKey'>;

/** Converts a validated string to a branded id. */
export const toId = <Id extends Brand<string, string>>(value: string): Id => value as Id;

/** Converts a validated number to a log offset. */
export const toLogOffset = (value: number): LogOffset => value as LogOffset;

/** Identifies a version of the software of a service's upstreams; versions have no order. */
export type SoftwareVersion = Brand<string, 'SoftwareVersion'>;

/** Name of a service, which is a group of interchangeable upstreams. */
export type ServiceName = Brand<string, 'ServiceName'>;

/** Identifies a part of a prompt; assigned by the caller. */
export type PromptPartId = Brand<string, 'PromptPartId'>;

/** Identifies a region, which consists of availability zones. */
export type RegionId = Brand<string, 'RegionId'>;

/** Version number of a model's weights; higher numbers are newer. */
export type WeightNumber = Brand<number, 'WeightNumber'>;

/** Converts a validated number to a version number of a model's weights. */
export const toWeightNumber = (value: number): WeightNumber => value as WeightNumber;
