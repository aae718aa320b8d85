import { buildCacheSalt, toId, toWeightNumber } from '@goldcrestscale/core';
import type { ModelId, TrackedUpstream, WeightNumber } from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/exchange.js';

/** Gives the weights that an attempt must run on; undefined where no prompt names a model. */
export const findWeights = (
  exchange: GatewayExchange,
  upstream: TrackedUpstream,
): WeightNumber | undefined => {
  const model = exchange.head.prompt?.model;
  return model === undefined ? undefined : upstream.findWeights(model);
};

/** Builds the salt that keeps blocks of other weights, models and isolated accounts apart. */
export const buildSalt = (
  { account, head }: GatewayExchange,
  held: WeightNumber | undefined,
): string =>
  buildCacheSalt({
    model: head.prompt?.model ?? toId<ModelId>(''),
    weights: held ?? toWeightNumber(0),
    isolatedAccount: account?.isolated ? account.id : undefined,
  });
