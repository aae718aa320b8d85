import type { BlockStoreSettings } from '../deployment/index.js';
import type { WeightNumber } from '../ids.js';
import { listSharedParts } from './prompt.js';
import type { PromptRequest } from './promptRouter.js';

/** A shared prompt part with its cache key, which depends on the weights. */
export interface KeyedPart {
  readonly key: string;
  readonly tokens: number;
  readonly store: BlockStoreSettings | undefined;
}

/** Looks up the shared parts of a prompt and memoizes them by weights. */
export class SharedParts {
  private readonly partsByWeights = new Map<WeightNumber | undefined, readonly KeyedPart[]>();

  constructor(private readonly request: PromptRequest) {}

  list(weights: WeightNumber | undefined): readonly KeyedPart[] {
    const cached = this.partsByWeights.get(weights);
    if (cached) return cached;
    const { request } = this;
    const parts = listSharedParts(request.prompt).map(({ id, tokens }) => {
      const key = request.buildCacheKey(id, weights);
      return { key, tokens, store: request.findStore(key, tokens) };
    });
    this.partsByWeights.set(weights, parts);
    return parts;
  }
}
