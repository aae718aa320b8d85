declare const brand: unique symbol;

/** Nominal type over a primitive. */
export type Brand<Value, Name extends string> = Value & { readonly [brand]: Name };

/** Names one VM for as long as it lives. */
export type VmId = Brand<string, 'VmId'>;

/** Names one run of a process on a VM; a restart has a new one. */
export type BootId = Brand<string, 'BootId'>;

/** Names an availability zone. */
export type AvailabilityZoneId = Brand<string, 'AvailabilityZoneId'>;

/** Names a client account. */
export type ClientAccountId = Brand<string, 'ClientAccountId'>;

/** Names a workload of a client account. */
export type WorkloadId = Brand<string, 'WorkloadId'>;

/** Names an upstream: a model engine, a store VM or a plain service. */
export type UpstreamId = Brand<string, 'UpstreamId'>;

/** Names a model. */
export type ModelId = Brand<string, 'ModelId'>;

/** Names one version of a model's weights. */
export type WeightVersion = Brand<string, 'WeightVersion'>;

/** Names one caller request. */
export type RequestId = Brand<string, 'RequestId'>;

/** Names one attempt at a request; a retry has a new one. */
export type AttemptId = Brand<string, 'AttemptId'>;

/** Idempotency key given by a caller; unique only within its client account. */
export type IdempotencyKey = Brand<string, 'IdempotencyKey'>;

/** Names one edit of the configuration table. */
export type EditId = Brand<string, 'EditId'>;

/** Names one stream of the append-only log. */
export type StreamName = Brand<string, 'StreamName'>;

/** Position of a record in a stream; the first record has offset 0. */
export type LogOffset = Brand<number, 'LogOffset'>;

/** Digest that identifies one prompt block of one client account. */
export type BlockKey = Brand<string, 'BlockKey'>;

/** Converts a checked primitive to a branded id. */
export const toId = <Id extends Brand<string, string>>(value: string): Id => value as Id;

/** Converts a checked number to a log offset. */
export const toLogOffset = (value: number): LogOffset => value as LogOffset;

/** Names a service: upstreams that stand in for one another. */
export type ServiceName = Brand<string, 'ServiceName'>;

/** Names one piece of a prompt, as the caller counts it. */
export type PromptPartId = Brand<string, 'PromptPartId'>;

/** Names a region of availability zones. */
export type RegionId = Brand<string, 'RegionId'>;

/** Number of a model's weights; a higher one is newer. */
export type WeightNumber = Brand<number, 'WeightNumber'>;

/** Converts a checked number to the number of a model's weights. */
export const toWeightNumber = (value: number): WeightNumber => value as WeightNumber;
