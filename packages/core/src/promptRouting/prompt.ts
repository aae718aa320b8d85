import type { ModelId, PromptPartId } from '../ids.js';

/** One part of a prompt; parts are ordered from the beginning of the prompt. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** Prompt metadata declared by a request. */
export interface Prompt {
  readonly model: ModelId;
  readonly inputTokens: number;
  readonly maxOutputTokens: number;
  /** The caller's estimate of its output; right at the median, but often far off. */
  readonly expectedOutputTokens?: number | undefined;
  /** With several parts, the last one is specific to the request and not shared. */
  readonly parts: readonly PromptPart[];
}

/** Lists the parts that later requests may reuse. */
export const listSharedParts = ({ parts }: Prompt): readonly PromptPart[] =>
  parts.length > 1 ? parts.slice(0, -1) : parts;

/** Returns the part by which requests of a session are routed to the same engine. */
export const findSessionPart = (prompt: Prompt): PromptPart | undefined =>
  listSharedParts(prompt).at(-1);
