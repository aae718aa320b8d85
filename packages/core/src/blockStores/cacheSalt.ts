import type { ClientAccountId, ModelId, WeightNumber } from '../ids.js';
import { toId, toWeightNumber } from '../ids.js';

/** Scope within which cached blocks may be shared. */
export interface CacheNamespace {
  readonly model: ModelId;
  readonly weights: WeightNumber;
  /** Set if the client account must not share cached blocks with other accounts. */
  readonly isolatedAccount: ClientAccountId | undefined;
}

const SALT_PATTERN = /^([^~]*)~(\d+)(?:~(.+))?$/;

/** Builds the salt that scopes an engine's cache lookups and inserts. */
export const buildCacheSalt = ({ model, weights, isolatedAccount }: CacheNamespace): string =>
  `${model}~${weights}${isolatedAccount === undefined ? '' : `~${isolatedAccount}`}`;

/** @returns undefined if the salt was not built by `buildCacheSalt` */
export const parseCacheSalt = (salt: string): CacheNamespace | undefined => {
  const match = SALT_PATTERN.exec(salt);
  if (!match) return undefined;
  return {
    model: toId<ModelId>(match[1]!),
    weights: toWeightNumber(Number(match[2])),
    isolatedAccount: match[3] === undefined ? undefined : toId<ClientAccountId>(match[3]),
  };
};
