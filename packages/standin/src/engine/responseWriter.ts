import type { ServerResponse } from 'node:http';
import type { CompletionRequest } from './completionRequest.js';

/** Token usage of a completed response. */
export interface CompletionUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

/** Writes the generated tokens of one completion to its HTTP response. */
export abstract class ResponseWriter {
  constructor(
    protected readonly response: ServerResponse,
    protected readonly request: CompletionRequest,
    protected readonly headers: Readonly<Record<string, string>>,
  ) {}

  /** Writes tokens as they are generated. */
  abstract write(tokens: readonly string[]): void;

  /** Ends the response; if `isComplete` is false, it ends without its end marker. */
  abstract finish(usage: CompletionUsage, isComplete: boolean): void;

  protected buildResponseFields(choice: object, usage?: CompletionUsage): object {
    return {
      id: `cmpl-${this.request.attemptId}`,
      created: Math.floor(Date.now() / 1000),
      model: this.request.model,
      choices: [choice],
      ...(usage && {
        usage: {
          prompt_tokens: usage.promptTokens,
          completion_tokens: usage.completionTokens,
          total_tokens: usage.promptTokens + usage.completionTokens,
          prompt_tokens_details: { cached_tokens: usage.cachedTokens },
        },
      }),
    };
  }
}
