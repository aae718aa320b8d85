import { MAX_RECENT_ANSWERS, MAX_RECENT_ANSWER_BODY_BYTES } from './constants.js';
import { buildRequestLabel } from './crashPattern.js';
import type { WholeRequest } from './crashPattern.js';

/** A request that an upstream answered in full. */
interface AnsweredRequest {
  readonly request: WholeRequest;
  readonly label: string;
  /** Monotonic time. */
  readonly atMs: number;
}

/**
 * The requests that were answered last. They are hashed only once one with the same label is
 * suspected, since most never are.
 */
export class RecentAnswers {
  private readonly answers: AnsweredRequest[] = [];

  private nextIndex = 0;

  record(request: WholeRequest): void {
    if (request.body.length > MAX_RECENT_ANSWER_BODY_BYTES) return;
    const label = buildRequestLabel(request);
    this.answers[this.nextIndex] = { request, label, atMs: performance.now() };
    this.nextIndex = (this.nextIndex + 1) % MAX_RECENT_ANSWERS;
  }

  /** Lists the answered requests with a label. */
  list(label: string): readonly AnsweredRequest[] {
    return this.answers.filter((answer) => answer.label === label);
  }
}
