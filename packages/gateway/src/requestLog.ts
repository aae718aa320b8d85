import type { Logger } from '@goldcrestscale/runtime';

/** Sustained rate limit of each kind of line. */
const MAX_LINES_PER_SECOND = 40;

/** Burst limit of each kind of line. */
const MAX_BURST_LINES = 80;

const SECOND_MS = 1_000;

interface TokenBucket {
  tokens: number;
  refilledAtMs: number;
  leftOut: number;
}

/** Limits of each kind of line. */
export interface RequestLogOptions {
  /** @default MAX_LINES_PER_SECOND */
  readonly linesPerSecond?: number;
  /** @default MAX_BURST_LINES */
  readonly burstLines?: number;
}

/**
 * Rate-limited log about requests. Each kind of line has its own limit, so that late responses never
 * suppress failures. The next line of a kind reports how many were suppressed.
 */
export class RequestLog {
  private readonly buckets = new Map<string, TokenBucket>();

  private readonly linesPerSecond: number;

  private readonly burstLines: number;

  constructor(
    private readonly logger: Logger,
    { linesPerSecond = MAX_LINES_PER_SECOND, burstLines = MAX_BURST_LINES }: RequestLogOptions = {},
  ) {
    this.linesPerSecond = linesPerSecond;
    this.burstLines = burstLines;
  }

  /** @param message log message, which is also the kind of line */
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

  /** Logs what explains a request that went well; written only at the debug level. */
  logDetail(message: string, fields: Readonly<Record<string, unknown>>): void {
    this.logger.debug(message, fields);
  }

  private updateBucket(message: string): TokenBucket {
    const nowMs = performance.now();
    const bucket = this.buckets.get(message) ?? {
      tokens: this.burstLines,
      refilledAtMs: nowMs,
      leftOut: 0,
    };
    this.buckets.set(message, bucket);
    const refilledTokens = ((nowMs - bucket.refilledAtMs) / SECOND_MS) * this.linesPerSecond;
    bucket.tokens = Math.min(this.burstLines, bucket.tokens + refilledTokens);
    bucket.refilledAtMs = nowMs;
    return bucket;
  }
}
