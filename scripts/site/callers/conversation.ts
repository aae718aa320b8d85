import { renderPrompt } from '@goldcrestscale/standin';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const WORDS = ['oak', 'beech', 'larch', 'scale', 'yard', 'load', 'boot', 'shell', 'liner', 'foot'];
const BYTES_PER_TOKEN = 4;

interface Message {
  readonly role: string;
  readonly content: string;
}

/** Generates random text of at least the given number of tokens. */
export const generateText = (generator: RandomGenerator, tokens: number): string => {
  const chunks: string[] = [];
  for (let bytes = 0; bytes < tokens * BYTES_PER_TOKEN;) {
    const word = WORDS[uniformInt(generator, 0, WORDS.length - 1)] ?? '';
    const chunk = `${word}${uniformInt(generator, 0, 9_999)} `;
    chunks.push(chunk);
    bytes += chunk.length;
  }
  return chunks.join('');
};

/** A multi-turn conversation, whose prompt contains all earlier turns. */
export class Conversation {
  private messages: Message[];

  private turnCount = 0;

  /** Prompt tokens of the last finished turn, which may still be cached. */
  private lastPromptTokens = 0;

  constructor(
    private readonly generator: RandomGenerator,
    systemPromptTokens: number,
    private readonly turnTokens: number,
  ) {
    this.messages = [{ role: 'system', content: generateText(generator, systemPromptTokens) }];
  }

  get turns(): number {
    return this.turnCount;
  }

  get reusableTokens(): number {
    return this.lastPromptTokens;
  }

  /** Adds the next user message and returns the messages to send. */
  beginTurn(): readonly Message[] {
    const content = generateText(this.generator, this.turnTokens);
    this.messages = [...this.messages, { role: 'user', content }];
    return this.messages;
  }

  /** Returns the rendered prompt of the current turn. */
  getPrompt(): string {
    return renderPrompt(this.messages);
  }

  /** Adds the answer to the current turn and ends the turn. */
  finishTurn(answer: string, promptTokens: number): void {
    this.messages = [...this.messages, { role: 'assistant', content: answer }];
    this.turnCount += 1;
    this.lastPromptTokens = promptTokens;
  }

  /** Removes the last user message, after a request without an answer. */
  cancelTurn(): void {
    this.messages = this.messages.slice(0, -1);
  }
}
