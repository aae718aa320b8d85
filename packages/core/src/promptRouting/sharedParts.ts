import type { BlockStoreSettings } from '../deployment/index.js';
import type { WeightNumber } from '../ids.js';
import { listSharedParts } from './prompt.js';
import type { PromptRequest } from './promptRouter.js';

/** A shared part under the key that engines with the same weights cache it by. */
export interface KeyedPart {
  readonly key: string;
  readonly tokens: number;
  readonly store: BlockStoreSettings | undefined;
}

/** Looks up the shared parts of a prompt, once for each version of the weights. */
export class SharedParts {
  private readonly known = new Map<WeightNumber | undefined, readonly KeyedPart[]>();

  constructor(private readonly request: PromptRequest) {}

  list(held: WeightNumber | undefined): readonly KeyedPart[] {
    const known = this.known.get(held);
    if (known) return known;
    const { request } = this;
    const parts = listSharedParts(request.prompt).map(({ id, tokens }) => {
      const key = request.buildKey(id, held);
      return { key, tokens, store: request.findStore(key, tokens) };
    });
    this.known.set(held, parts);
    return parts;
  }
}
