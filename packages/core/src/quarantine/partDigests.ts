import { createHash } from 'node:crypto';
import type { ModelId, PromptPartId } from '../ids.js';
import { MAX_MEMOIZED_DIGESTS } from './constants.js';

const DIGEST_LENGTH = 16;

/** Computes short digests of prompt parts by model and keeps the most recent ones. */
export class PartDigests {
  private readonly digests = new Map<string, string>();

  compute(model: ModelId, part: PromptPartId): string {
    const key = `${model}\0${part}`;
    const known = this.digests.get(key);
    if (known !== undefined) return known;
    const digest = createHash('sha256').update(key).digest('base64url').slice(0, DIGEST_LENGTH);
    this.digests.set(key, digest);
    if (this.digests.size > MAX_MEMOIZED_DIGESTS)
      this.digests.delete(this.digests.keys().next().value!);
    return digest;
  }
}
