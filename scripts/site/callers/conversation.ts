import { renderPrompt } from '@goldcrestscale/standin';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';

const WORDS = ['oak', 'beech', 'larch', 'scale', 'yard', 'load', 'boot', 'shell', 'liner', 'foot'];
const BYTES_PER_TOKEN = 4;

interface Message {
  readonly role: string;
  readonly content: string;
}

/** Generates text of a length in tokens. */
export const generateText = (generator: RandomGenerator, tokens: number): string => {
  const parts: string[] = [];
  for (let bytes = 0; bytes < tokens * BYTES_PER_TOKEN;) {
    const word = WORDS[uniformInt(generator, 0, WORDS.length - 1)] ?? '';
    const part = `${word}${uniformInt(generator, 0, 9_999)} `;
    parts.push(part);
    bytes += part.length;
  }
  return parts.join('');
};

/** A conversation whose prompt returns, longer each time. */
export class Conversation {
  private messages: Message[];

  private turnCount = 0;

  /** Prompt tokens of the last turn, which a cache may still hold. */
  private seen = 0;

  constructor(
    private readonly generator: RandomGenerator,
    notesTokens: number,
    private readonly turnTokens: number,
  ) {
    this.messages = [{ role: 'system', content: generateText(generator, notesTokens) }];
  }

  get turns(): number {
    return this.turnCount;
  }

  get seenTokens(): number {
    return this.seen;
  }

  /** Adds the next question and gives the messages to send. */
  beginTurn(): readonly Message[] {
    const content = generateText(this.generator, this.turnTokens);
    this.messages = [...this.messages, { role: 'user', content }];
    return this.messages;
  }

  /** Gives the prompt of the turn that has begun. */
  getPrompt(): string {
    return renderPrompt(this.messages);
  }

  /** Adds the answer. */
  finishTurn(answer: string, promptTokens: number): void {
    this.messages = [...this.messages, { role: 'assistant', content: answer }];
    this.turnCount += 1;
    this.seen = promptTokens;
  }

  /** Takes the question back, where it got no answer. */
  withdrawTurn(): void {
    this.messages = this.messages.slice(0, -1);
  }
}
