import { createHash, randomBytes } from 'node:crypto';
import type { Brand, ClientAccountId, IdempotencyKey, VmId } from '../ids.js';

/** Number of one of the log streams that hold the claims. */
export type ShardId = Brand<number, 'ShardId'>;

/** Digest of what a request asks for: method, path and body. */
export type RequestDigest = Brand<string, 'RequestDigest'>;

/** A key within its client account. */
export interface AccountKey {
  readonly accountId: ClientAccountId;
  readonly key: IdempotencyKey;
}

const UUID_V7 = /^[0-9a-f]{8}-[0-9a-f]{4}-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/;
const TIME_BYTES = 6;

/** Parses an idempotency key, a UUID of version 7; undefined where it is none. */
export const parseOnceKey = (text: string): IdempotencyKey | undefined => {
  const lower = text.toLowerCase();
  return UUID_V7.test(lower) ? (lower as IdempotencyKey) : undefined;
};

/** Gives the time that a key carries, in milliseconds. */
export const getKeyTimeMs = (key: IdempotencyKey): number =>
  Number.parseInt(key.replaceAll('-', '').slice(0, TIME_BYTES * 2), 16);

/** Creates a key with a time. */
export const createOnceKey = (timeMs: number): IdempotencyKey => {
  const bytes = randomBytes(16);
  bytes.writeUIntBE(Math.trunc(timeMs), 0, TIME_BYTES);
  bytes[6] = 0x70 + ((bytes[6] ?? 0) % 16);
  bytes[8] = 0x80 + ((bytes[8] ?? 0) % 64);
  const hex = bytes.toString('hex');
  const ends = [0, 8, 12, 16, 20, 32];
  const parts = ends.slice(1).map((end, index) => hex.slice(ends[index], end));
  return parts.join('-') as IdempotencyKey;
};

const hashText = (text: string): Buffer => createHash('sha256').update(text).digest();

/** Gives the name under which a key is stored, apart for each account. */
export const formatAccountKey = ({ accountId, key }: AccountKey): string => `${accountId}\n${key}`;

/** Computes the digest of a request. */
export const computeRequestDigest = (
  method: string,
  path: string,
  body: Uint8Array,
): RequestDigest =>
  createHash('sha256').update(`${method}\n${path}\n`).update(body).digest('hex') as RequestDigest;

/** Picks the shard of a key. */
export const pickShard = (accountKey: AccountKey, shardCount: number): ShardId =>
  (hashText(formatAccountKey(accountKey)).readUInt32BE(0) % shardCount) as ShardId;

/** Ranks the VMs for a shard by rendezvous hashing; the first one serves it. */
export const rankShardServers = (shard: ShardId, vmIds: readonly VmId[]): VmId[] =>
  vmIds
    .map((vmId) => ({ vmId, score: hashText(`${shard}\n${vmId}`).readUIntBE(0, TIME_BYTES) }))
    .sort((left, right) => right.score - left.score || (left.vmId < right.vmId ? -1 : 1))
    .map(({ vmId }) => vmId);
