import { setTimeout as sleep } from 'node:timers/promises';
import type { ResponseWriter, CompletionUsage } from './responseWriter.js';
import { generateToken } from './answerText.js';
import type { CompletionRequest } from './completionRequest.js';
import { MIN_DECODE_STEP_MS } from './constants.js';

/** Injected fault that ends a response early: connection cut, or stream without end marker. */
export type ResponseFault = 'cut' | 'truncate';

/** One execution of a request; can be resumed after a disconnect until the resume window ends. */
export class Attempt {
  /** Index of the next token to write. */
  position: number;

  private cachedTokenCount = 0;

  private readonly controller = new AbortController();

  constructor(
    readonly request: CompletionRequest,
    /** Weight version that generates the answer, even if the engine loads another one meanwhile. */
    readonly weightVersion: string,
    /** Prompt that the answer is generated from; that of another request if answers are crossed. */
    private readonly answerPrompt: string,
  ) {
    this.position = request.receivedTokens;
  }

  /** Aborts when the attempt is cancelled or the engine restarts. */
  get signal(): AbortSignal {
    return this.controller.signal;
  }

  get isComplete(): boolean {
    return this.position >= this.request.maxTokens;
  }

  abort(): void {
    this.controller.abort();
  }

  get cachedTokens(): number {
    return this.cachedTokenCount;
  }

  /** Records how many prompt tokens were found in the cache. */
  recordCachedTokens(tokens: number): void {
    this.cachedTokenCount = Math.min(tokens, this.request.promptTokens);
  }

  buildUsage(): CompletionUsage {
    return {
      promptTokens: this.request.promptTokens,
      completionTokens: this.request.maxTokens,
      cachedTokens: this.cachedTokenCount,
    };
  }

  /** Writes tokens at the given rate up to the position `endPosition` (exclusive). */
  async decode(
    writer: ResponseWriter,
    endPosition: number,
    tokensPerSecond: number,
    signal: AbortSignal,
  ): Promise<void> {
    const tokenIntervalMs = 1000 / tokensPerSecond;
    const startedAtMs = performance.now();
    const startPosition = this.position;
    while (this.position < endPosition) {
      const elapsedMs = performance.now() - startedAtMs;
      const duePosition = Math.min(
        startPosition + Math.floor(elapsedMs / tokenIntervalMs) + 1,
        endPosition,
      );
      this.writeTokens(writer, duePosition);
      if (this.position >= endPosition) return;
      const nextTokenInMs = (this.position - startPosition) * tokenIntervalMs - elapsedMs;
      await sleep(Math.max(nextTokenInMs, MIN_DECODE_STEP_MS), undefined, { signal });
    }
  }

  private writeTokens(writer: ResponseWriter, duePosition: number): void {
    const tokens: string[] = [];
    for (; this.position < duePosition; this.position += 1) {
      tokens.push(generateToken(this.weightVersion, this.answerPrompt, this.position));
    }
    if (tokens.length > 0) writer.write(tokens);
  }
}
