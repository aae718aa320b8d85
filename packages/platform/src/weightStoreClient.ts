import type { ModelId, WeightVersion } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS, WEIGHT_STORE_TIMEOUT_MS } from './constants.js';
import { sendCall } from './httpCall.js';

/** Result of asking the weight store for a version. */
export type WeightFetch =
  { readonly type: 'ready' } | { readonly type: 'limited'; readonly retryAfterMs: number };

/** Client of the rate-limited weight store. */
export interface WeightStoreClient {
  /** Has a weight version made ready; `limited` where the store's rate is used up. */
  fetchWeights(model: ModelId, version: WeightVersion, signal?: AbortSignal): Promise<WeightFetch>;
}

/** Creates the client of the weight store at a base address. */
export const createWeightStoreClient = (baseUrl: string): WeightStoreClient => ({
  async fetchWeights(model, version, signal) {
    const answer = await sendCall({
      url: `${baseUrl}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`,
      method: 'GET',
      timeoutMs: WEIGHT_STORE_TIMEOUT_MS,
      signal,
    });
    if (answer.status === 200) return { type: 'ready' };
    if (answer.status !== 429) {
      throw new Error(`weight store answered with status ${answer.status}`);
    }
    return { type: 'limited', retryAfterMs: answer.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS };
  },
});
