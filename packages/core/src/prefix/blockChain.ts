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
 * Identity of prompt blocks. A key is an account tag, a group tag and a digest. The digest is a
 * keyed hash over the digest before it and the block's bytes, so equal text gives equal keys only
 * within one account, model, adapter and weight version, and only behind an equal prefix.
 */

/** Inputs of a chain of block keys. */
export interface BlockChainInput {
  readonly accountSecret: Buffer;
  readonly model: ModelId;
  /** Adapter on top of the model's weights; absent for the plain model. */
  readonly adapter?: string;
  readonly weightVersion: WeightVersion;
  /** Whole prompt text. */
  readonly prompt: string | Buffer;
}

/** Derives the secret under which an account's prompt blocks are named. */
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

/** Computes the part of every key that tells the client account, without naming it. */
export const computeAccountTag = (accountSecret: Buffer): Buffer =>
  computeHmac(accountSecret, 'account-tag').subarray(0, ACCOUNT_TAG_BYTES);

const encodeKey = (accountTag: Buffer, groupTag: Buffer, digest: Buffer): BlockKey =>
  toId<BlockKey>(
    Buffer.concat([accountTag, groupTag, digest.subarray(0, BLOCK_DIGEST_BYTES)]).toString(
      'base64url',
    ),
  );

/** Creates the keys of a prompt's whole blocks, in order; a last partial block has no key. */
export const createBlockChain = (input: BlockChainInput): PromptBlock[] => {
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

/** A block key taken apart into machine words. */
export interface KeyWords {
  readonly accountTag: number;
  readonly groupTag: number;
  readonly high: number;
  readonly low: number;
}

const KEY_BYTES = ACCOUNT_TAG_BYTES + GROUP_TAG_BYTES + BLOCK_DIGEST_BYTES;

/** Parses a block key; undefined where the text is not one. */
export const parseBlockKey = (key: string): KeyWords | undefined => {
  const bytes = Buffer.from(key, 'base64url');
  if (bytes.length !== KEY_BYTES) return undefined;
  return {
    accountTag: bytes.readUInt32LE(0),
    groupTag: bytes.readUInt32LE(ACCOUNT_TAG_BYTES),
    high: bytes.readUInt32LE(ACCOUNT_TAG_BYTES + GROUP_TAG_BYTES),
    low: bytes.readUInt32LE(ACCOUNT_TAG_BYTES + GROUP_TAG_BYTES + 4),
  };
};
