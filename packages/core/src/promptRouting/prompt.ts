import type { ModelId, PromptPartId } from '../ids.js';

/** One piece of a prompt, in order from its beginning. */
export interface PromptPart {
  readonly id: PromptPartId;
  readonly tokens: number;
}

/** What a request says of its prompt. */
export interface Prompt {
  readonly model: ModelId;
  readonly inputTokens: number;
  readonly maxOutputTokens: number;
  /** The last part belongs to the request itself or to its session. */
  readonly parts: readonly PromptPart[];
}

/** Lists the parts that later requests may send again. */
export const listSharedParts = ({ parts }: Prompt): readonly PromptPart[] =>
  parts.length > 1 ? parts.slice(0, -1) : parts;

/** Gives the part by which requests of one session find the same engine. */
export const findSessionPart = (prompt: Prompt): PromptPart | undefined =>
  listSharedParts(prompt).at(-1);
