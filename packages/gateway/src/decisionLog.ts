import type { Logger } from '@goldcrestscale/runtime';

/** Lines a second that are written for requests. */
const LINES_PER_SECOND = 40;

/** Lines that may be written at once. */
const LINES_AT_ONCE = 80;

const SECOND_MS = 1_000;

/** Writes lines about requests, at a bounded rate; what is left out is counted in the next line. */
export class DecisionLog {
  private tokens = LINES_AT_ONCE;

  private refilledAtMs = performance.now();

  private leftOut = 0;

  constructor(private readonly logger: Logger) {}

  log(message: string, fields: Readonly<Record<string, unknown>>): void {
    const nowMs = performance.now();
    const gained = ((nowMs - this.refilledAtMs) / SECOND_MS) * LINES_PER_SECOND;
    this.tokens = Math.min(LINES_AT_ONCE, this.tokens + gained);
    this.refilledAtMs = nowMs;
    if (this.tokens < 1) {
      this.leftOut += 1;
      return;
    }
    this.tokens -= 1;
    this.logger.info(message, this.leftOut > 0 ? { ...fields, leftOut: this.leftOut } : fields);
    this.leftOut = 0;
  }
}
