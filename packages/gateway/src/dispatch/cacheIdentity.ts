import {
  buildBlockKey,
  buildCacheSalt,
  listSharedParts,
  toId,
  toWeightNumber,
} from '@goldcrestscale/core';
import type { ModelId, TrackedUpstream, WeightNumber } from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/gatewayExchange.js';

/** Returns the weight version that an attempt must run on; undefined if no prompt names a model. */
export const findExpectedWeights = (
  exchange: GatewayExchange,
  upstream: TrackedUpstream,
): WeightNumber | undefined => {
  const model = exchange.head.prompt?.model;
  return model === undefined ? undefined : upstream.findWeights(model);
};

/** Builds the cache salt, which separates the blocks of models, weight versions and isolated accounts. */
export const buildSalt = (
  { account, head }: GatewayExchange,
  weights: WeightNumber | undefined,
): string =>
  buildCacheSalt({
    model: head.prompt?.model ?? toId<ModelId>(''),
    weights: weights ?? toWeightNumber(0),
    isolatedAccount: account?.isolated ? account.id : undefined,
  });

/** Lists the keys of a prompt's shared parts for the weights that an upstream has. */
export const listSentKeys = (
  exchange: GatewayExchange,
  upstream: TrackedUpstream,
): readonly string[] => {
  const { prompt } = exchange.head;
  if (!prompt) return [];
  const salt = buildSalt(exchange, upstream.findWeights(prompt.model));
  return listSharedParts(prompt).map(({ id }) => buildBlockKey(salt, id));
};
