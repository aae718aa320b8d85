import { z } from 'zod';

const usageSchema = z.object({
  prompt_tokens: z.number(),
  prompt_tokens_details: z.object({ cached_tokens: z.number().nullish() }).nullish(),
});

const frameSchema = z.object({
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

/** Part of an answer, or the whole of one that is not streamed. */
export interface AnswerFrame {
  readonly text: string;
  readonly promptTokens?: number;
  readonly cachedTokens?: number;
}

/** Error body of the system. */
export interface ErrorFrame {
  readonly code: string;
  readonly verdict: 'not-run' | 'may-have-run' | 'ran';
  readonly retryAfterMs?: number;
}

const parseValue = (text: string): unknown => {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
};

/** Parses an error body; undefined where the text is none. */
export const parseErrorFrame = (text: string): ErrorFrame | undefined => {
  const parsed = errorSchema.safeParse(parseValue(text));
  if (!parsed.success) return undefined;
  const { code, verdict, retry_after_ms: retryAfterMs } = parsed.data.error;
  return {
    code: code ?? 'unknown',
    // An answer without a verdict proves nothing.
    verdict: verdict ?? 'may-have-run',
    ...(typeof retryAfterMs === 'number' ? { retryAfterMs } : {}),
  };
};

/** Parses a part of an answer; undefined where the text is none. */
export const parseAnswerFrame = (text: string): AnswerFrame | undefined => {
  const parsed = frameSchema.safeParse(parseValue(text));
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
