import { setTimeout as sleep } from 'node:timers/promises';
import type { AnswerSink, AnswerUsage } from './answerSink.js';
import { generateToken } from './answerText.js';
import type { CompletionRequest } from './completionRequest.js';
import { MIN_DECODE_STEP_MS } from './constants.js';

/** Way in which an answer ends before it is whole. */
export type AnswerBreak = 'cut' | 'truncate';

/** One run of a request; outlives a broken connection until the resume window ends. */
export class Attempt {
  /** Position of the next token to write. */
  position: number;

  private cached = 0;

  private readonly controller = new AbortController();

  constructor(
    readonly request: CompletionRequest,
    /** Version whose text the answer has, also after a swap. */
    readonly weightVersion: string,
    /** Prompt whose text the answer has; another request's where the answer is crossed. */
    private readonly textPrompt: string,
  ) {
    this.position = request.receivedTokens;
  }

  /** Aborts when the attempt is cancelled or the engine falls. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get isWhole(): boolean {
    return this.position >= this.request.maxTokens;
  }

  abort(): void {
    this.controller.abort();
  }

  get cachedTokens(): number {
    return this.cached;
  }

  /** Notes how many prompt tokens were found in the cache. */
  noteCachedTokens(tokens: number): void {
    this.cached = Math.min(tokens, this.request.promptTokens);
  }

  describeUsage(): AnswerUsage {
    return {
      promptTokens: this.request.promptTokens,
      completionTokens: this.request.maxTokens,
      cachedTokens: this.cached,
    };
  }

  /** Writes tokens at the given pace up to a position. */
  async decode(
    sink: AnswerSink,
    until: number,
    tokensPerSecond: number,
    signal: AbortSignal,
  ): Promise<void> {
    const gapMs = 1000 / tokensPerSecond;
    const startMs = performance.now();
    const first = this.position;
    while (this.position < until) {
      const elapsed = performance.now() - startMs;
      const due = Math.min(first + Math.floor(elapsed / gapMs) + 1, until);
      this.write(sink, due);
      if (this.position >= until) return;
      const nextMs = (this.position - first) * gapMs - elapsed;
      await sleep(Math.max(nextMs, MIN_DECODE_STEP_MS), undefined, { signal });
    }
  }

  private write(sink: AnswerSink, due: number): void {
    const tokens: string[] = [];
    for (; this.position < due; this.position += 1) {
      tokens.push(generateToken(this.weightVersion, this.textPrompt, this.position));
    }
    if (tokens.length > 0) sink.write(tokens);
  }
}
