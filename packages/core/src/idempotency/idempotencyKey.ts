import { createHash, randomBytes } from 'node:crypto';
import type { Brand, ClientAccountId, IdempotencyKey, VmId } from '../ids.js';

/** Index of one of the log streams that hold the claims. */
export type ShardId = Brand<number, 'ShardId'>;

/** Digest of a request's method, path and body. */
export type RequestDigest = Brand<string, 'RequestDigest'>;

/** An idempotency key, scoped to its client account. */
export interface ScopedIdempotencyKey {
  readonly accountId: ClientAccountId;
  readonly key: IdempotencyKey;
}

const UUID_V7_PATTERN = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const TIMESTAMP_BYTES = 6;

/** Parses an idempotency key, which must be a UUIDv7; undefined if it is not. */
export const parseIdempotencyKey = (text: string): IdempotencyKey | undefined => {
  const lower = text.toLowerCase();
  return UUID_V7_PATTERN.test(lower) ? (lower as IdempotencyKey) : undefined;
};

/** Returns the timestamp embedded in a key, in milliseconds. */
export const getKeyTimestampMs = (key: IdempotencyKey): number =>
  Number.parseInt(key.replaceAll('-', '').slice(0, TIMESTAMP_BYTES * 2), 16);

/** Creates a key with the given timestamp. */
export const createIdempotencyKey = (timeMs: number): IdempotencyKey => {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(Math.trunc(timeMs), 0, TIMESTAMP_BYTES);
  bytes[6] = 0x70 + ((bytes[6] ?? 0) % 16);
  bytes[8] = 0x80 + ((bytes[8] ?? 0) % 64);
  const hex = bytes.toString('hex');
  const groupEnds = [0, 8, 12, 16, 20, 32];
  const groups = groupEnds.slice(1).map((end, index) => hex.slice(groupEnds[index], end));
  return groups.join('-') as IdempotencyKey;
};

const hashSha256 = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Formats the storage key of an account's idempotency key. */
export const formatScopedKey = ({ accountId, key }: ScopedIdempotencyKey): string =>
  `${accountId}\n${key}`;

export const computeRequestDigest = (
  method: string,
  path: string,
  body: Uint8Array,
): RequestDigest =>
  createHash('sha256').update(`${method}\n${path}\n`).update(body).digest('hex') as RequestDigest;

/** Picks the shard that stores a key. */
export const pickShard = (scopedKey: ScopedIdempotencyKey, shardCount: number): ShardId =>
  (hashSha256(formatScopedKey(scopedKey)).readUInt32BE(0) % shardCount) as ShardId;

/** Ranks the VMs for a shard by rendezvous hashing; the first VM serves the shard. */
export const rankShardServers = (shard: ShardId, vmIds: readonly VmId[]): VmId[] =>
  vmIds
    .map((vmId) => ({
      vmId,
      score: hashSha256(`${shard}\n${vmId}`).readUIntBE(0, TIMESTAMP_BYTES),
    }))
    .sort((left, right) => right.score - left.score || (left.vmId < right.vmId ? -1 : 1))
    .map(({ vmId }) => vmId);
