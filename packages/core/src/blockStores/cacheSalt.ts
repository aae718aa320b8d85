import type { ClientAccountId, ModelId, WeightNumber } from '../ids.js';
import { toId, toWeightNumber } from '../ids.js';

/** What keeps cached blocks apart. */
export interface CacheIdentity {
  readonly model: ModelId;
  readonly weights: WeightNumber;
  /** Set where the account shares no block with another. */
  readonly isolatedAccount: ClientAccountId | undefined;
}

const PART = /^([^~]*)~(\d+)(?:~(.+))?$/;

/** Builds the salt under which an engine caches and finds blocks. */
export const buildCacheSalt = ({ model, weights, isolatedAccount }: CacheIdentity): string =>
  `${model}~${weights}${isolatedAccount === undefined ? '' : `~${isolatedAccount}`}`;

/** @returns undefined where the text is no salt of this system's */
export const parseCacheSalt = (salt: string): CacheIdentity | undefined => {
  const match = PART.exec(salt);
  if (!match) return undefined;
  return {
    model: toId<ModelId>(match[1]!),
    weights: toWeightNumber(Number(match[2])),
    isolatedAccount: match[3] === undefined ? undefined : toId<ClientAccountId>(match[3]),
  };
};
