import { z } from 'zod';

const usageSchema = z.object({
  prompt_tokens: z.number(),
  completion_tokens: z.number(),
  prompt_tokens_details: z.object({ cached_tokens: z.number() }).optional(),
});

const chunkSchema = z.object({
  choices: z
    .array(
      z.object({
        text: z.string().optional(),
        delta: z.object({ content: z.string().nullish() }).optional(),
      }),
    )
    .default([]),
  usage: usageSchema.nullish(),
});

/** Token counts reported by an engine. */
export interface TokenUsage {
  readonly promptTokens: number;
  readonly completionTokens: number;
  readonly cachedTokens: number;
}

const parseJsonOrUndefined = (data: string): unknown => {
  try {
    return JSON.parse(data);
  } catch {
    return undefined;
  }
};

/** Returns whether a text is one complete JSON value. */
export const isJson = (text: string): boolean => parseJsonOrUndefined(text) !== undefined;

const readChunkText = (data: string): string => {
  const parsed = chunkSchema.safeParse(parseJsonOrUndefined(data));
  const choice = parsed.data?.choices[0];
  return choice?.text ?? choice?.delta?.content ?? '';
};

/** Text received so far and its number of tokens; an engine sends one token per event. */
export interface ReceivedText {
  readonly text: string;
  readonly tokens: number;
}

/** Concatenates the text of the received events. */
export const collectText = (events: readonly string[]): ReceivedText => {
  const texts = events.map(readChunkText).filter((text) => text !== '');
  return { text: texts.join(''), tokens: texts.length };
};

/** Parses the token counts in a response body or in the last event of a stream. */
export const parseUsage = (data: string): TokenUsage | undefined => {
  if (!data.includes('"usage"')) return undefined;
  const usage = chunkSchema.safeParse(parseJsonOrUndefined(data)).data?.usage;
  if (!usage) return undefined;
  return {
    promptTokens: usage.prompt_tokens,
    completionTokens: usage.completion_tokens,
    cachedTokens: usage.prompt_tokens_details?.cached_tokens ?? 0,
  };
};
