import type { Logger } from '@goldcrestscale/runtime';

/** Lines a second that are written of each kind. */
const LINES_PER_SECOND = 40;

/** Lines of a kind that may be written at once. */
const LINES_AT_ONCE = 80;

const SECOND_MS = 1_000;

interface Bucket {
  tokens: number;
  refilledAtMs: number;
  leftOut: number;
}

/**
 * Writes lines about requests, each kind at a bounded rate of its own, so that late answers never
 * take the room of failures; what is left out is counted in the next line of the kind.
 */
export class DecisionLog {
  private readonly buckets = new Map<string, Bucket>();

  constructor(private readonly logger: Logger) {}

  /** @param message names the kind of line */
  log(message: string, fields: Readonly<Record<string, unknown>>): void {
    const bucket = this.updateBucket(message);
    if (bucket.tokens < 1) {
      bucket.leftOut += 1;
      return;
    }
    bucket.tokens -= 1;
    const { leftOut } = bucket;
    this.logger.info(message, leftOut > 0 ? { ...fields, leftOut } : fields);
    bucket.leftOut = 0;
  }

  private updateBucket(message: string): Bucket {
    const nowMs = performance.now();
    const bucket = this.buckets.get(message) ?? {
      tokens: LINES_AT_ONCE,
      refilledAtMs: nowMs,
      leftOut: 0,
    };
    this.buckets.set(message, bucket);
    const gained = ((nowMs - bucket.refilledAtMs) / SECOND_MS) * LINES_PER_SECOND;
    bucket.tokens = Math.min(LINES_AT_ONCE, bucket.tokens + gained);
    bucket.refilledAtMs = nowMs;
    return bucket;
  }
}
