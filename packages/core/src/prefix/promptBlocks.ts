import { createHmac, hkdfSync } from 'node:crypto';
import { toId } from '../ids.js';
import type { BlockKey, ClientAccountId, ModelId, WeightVersion } from '../ids.js';
import type { PromptBlock } from '../routing/router.js';
import {
  ACCOUNT_SECRET_BYTES,
  ACCOUNT_TAG_BYTES,
  BLOCK_BYTES,
  BLOCK_DIGEST_BYTES,
  BLOCK_TOKENS,
  BLOCKS_PER_GROUP,
  GROUP_TAG_BYTES,
} from './constants.js';

/**
 * Keys of prompt blocks. A key consists of an account tag, a group tag and a digest. The digest is
 * an HMAC over the previous block's digest and the block's bytes, so equal text has equal keys only
 * after the same prefix and within the same account, model, adapter and weight version.
 */

/** Inputs that determine the block keys of a prompt. */
export interface PromptBlocksInput {
  readonly accountSecret: Buffer;
  readonly model: ModelId;
  /** Adapter applied to the model; absent for the base model. */
  readonly adapter?: string;
  readonly weightVersion: WeightVersion;
  /** Complete prompt text. */
  readonly prompt: string | Buffer;
}

/** Derives the secret that keys the block digests of an account. */
export const createAccountSecret = (
  fleetSecret: Buffer | string,
  accountId: ClientAccountId,
): Buffer =>
  Buffer.from(
    // eslint-disable-next-line n/no-sync -- the derivation takes microseconds and does no I/O
    hkdfSync('sha256', fleetSecret, 'goldcrest/prefix', accountId, ACCOUNT_SECRET_BYTES),
  );

const computeHmac = (secret: Buffer, ...parts: readonly (Buffer | string)[]): Buffer => {
  const hmac = createHmac('sha256', secret);
  parts.forEach((part) => hmac.update(part));
  return hmac.digest();
};

/** Computes the key prefix that identifies the client account without revealing its id. */
export const computeAccountTag = (accountSecret: Buffer): Buffer =>
  computeHmac(accountSecret, 'account-tag').subarray(0, ACCOUNT_TAG_BYTES);

const encodeKey = (accountTag: Buffer, groupTag: Buffer, digest: Buffer): BlockKey =>
  toId<BlockKey>(
    Buffer.concat([accountTag, groupTag, digest.subarray(0, BLOCK_DIGEST_BYTES)]).toString(
      'base64url',
    ),
  );

/** Creates the blocks of a prompt, in order; a trailing partial block is left out. */
export const createPromptBlocks = (input: PromptBlocksInput): PromptBlock[] => {
  const { accountSecret, model, adapter = '', weightVersion } = input;
  const bytes = Buffer.from(input.prompt);
  const accountTag = computeAccountTag(accountSecret);
  let digest = computeHmac(accountSecret, JSON.stringify([model, adapter, weightVersion]));
  let groupTag = digest.subarray(0, GROUP_TAG_BYTES);
  const blocks: PromptBlock[] = [];
  for (let end = BLOCK_BYTES; end <= bytes.length; end += BLOCK_BYTES) {
    digest = computeHmac(accountSecret, digest, bytes.subarray(end - BLOCK_BYTES, end));
    if (blocks.length % BLOCKS_PER_GROUP === 0) groupTag = digest.subarray(0, GROUP_TAG_BYTES);
    blocks.push({ key: encodeKey(accountTag, groupTag, digest), tokens: BLOCK_TOKENS });
  }
  return blocks;
};

/** Block key decoded into 32-bit words. */
export interface BlockKeyWords {
  readonly accountTag: number;
  readonly groupTag: number;
  readonly high: number;
  readonly low: number;
}

const KEY_BYTES = ACCOUNT_TAG_BYTES + GROUP_TAG_BYTES + BLOCK_DIGEST_BYTES;

/** Parses a block key; undefined if the text is not a block key. */
export const parseBlockKey = (key: string): BlockKeyWords | undefined => {
  const bytes = Buffer.from(key, 'base64url');
  if (bytes.length !== KEY_BYTES) return undefined;
  return {
    accountTag: bytes.readUInt32LE(0),
    groupTag: bytes.readUInt32LE(ACCOUNT_TAG_BYTES),
    high: bytes.readUInt32LE(ACCOUNT_TAG_BYTES + GROUP_TAG_BYTES),
    low: bytes.readUInt32LE(ACCOUNT_TAG_BYTES + GROUP_TAG_BYTES + 4),
  };
};
