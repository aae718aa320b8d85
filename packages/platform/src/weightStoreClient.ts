import type { ModelId, WeightVersion } from '@goldcrestscale/core';
import { DEFAULT_RETRY_AFTER_MS, MAX_UNUSED_BYTES, WEIGHT_STORE_TIMEOUT_MS } from './constants.js';
import { sendJsonRequest } from './sendJsonRequest.js';

/** Result of a request for a weight version. */
export type WeightFetchResult =
  { readonly type: 'ready' } | { readonly type: 'limited'; readonly retryAfterMs: number };

/** Client of the rate-limited weight store. */
export interface WeightStoreClient {
  /** Requests a weight version; `limited` if the rate limit of the store is reached. */
  requestWeights(
    model: ModelId,
    version: WeightVersion,
    signal?: AbortSignal,
  ): Promise<WeightFetchResult>;
}

/** Creates a client for the weight store at a base URL. */
export const createWeightStoreClient = (baseUrl: string): WeightStoreClient => ({
  async requestWeights(model, version, signal) {
    const response = await sendJsonRequest({
      url: `${baseUrl}/weights/${encodeURIComponent(model)}/${encodeURIComponent(version)}`,
      method: 'GET',
      timeoutMs: WEIGHT_STORE_TIMEOUT_MS,
      maxBytes: MAX_UNUSED_BYTES,
      signal,
    });
    if (response.status === 200) return { type: 'ready' };
    if (response.status !== 429) {
      throw new Error(`weight store responded with status ${response.status}`);
    }
    return { type: 'limited', retryAfterMs: response.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS };
  },
});
