import { z } from 'zod';

const usageSchema = z.object({
  prompt_tokens: z.number(),
  prompt_tokens_details: z.object({ cached_tokens: z.number().nullish() }).nullish(),
});

const chunkSchema = z.object({
  choices: z
    .array(
      z.object({
        text: z.string().nullish(),
        delta: z.object({ content: z.string().nullish() }).nullish(),
        message: z.object({ content: z.string().nullish() }).nullish(),
      }),
    )
    .default([]),
  usage: usageSchema.nullish(),
});

const errorSchema = z.object({
  error: z.object({
    code: z.string().nullish(),
    verdict: z.enum(['not-run', 'may-have-run', 'ran']).nullish(),
    retry_after_ms: z.number().nonnegative().nullish(),
  }),
});

/** Chunk of a streamed completion, or a completion that is not streamed. */
export interface CompletionChunk {
  readonly text: string;
  readonly promptTokens?: number;
  readonly cachedTokens?: number;
}

/** Error body of an entry VM. */
export interface ErrorBody {
  readonly code: string;
  readonly verdict: 'not-run' | 'may-have-run' | 'ran';
  readonly retryAfterMs?: number;
}

const tryParseJson = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/** Parses an error body; undefined if the text is not one. */
export const parseErrorBody = (text: string): ErrorBody | undefined => {
  const parsed = errorSchema.safeParse(tryParseJson(text));
  if (!parsed.success) return undefined;
  const { code, verdict, retry_after_ms: retryAfterMs } = parsed.data.error;
  return {
    code: code ?? 'unknown',
    // Without a verdict, the request may have been executed.
    verdict: verdict ?? 'may-have-run',
    ...(typeof retryAfterMs === 'number' ? { retryAfterMs } : {}),
  };
};

/** Parses a completion chunk; undefined if the text is not one. */
export const parseCompletionChunk = (text: string): CompletionChunk | undefined => {
  const parsed = chunkSchema.safeParse(tryParseJson(text));
  if (!parsed.success) return undefined;
  const [choice] = parsed.data.choices;
  const { usage } = parsed.data;
  return {
    text: choice?.delta?.content ?? choice?.message?.content ?? choice?.text ?? '',
    ...(usage
      ? {
          promptTokens: usage.prompt_tokens,
          cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
        }
      : {}),
  };
};
