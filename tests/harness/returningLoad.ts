import { generateAnswer } from '@goldcrestscale/standin';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Conversation } from '../../scripts/site/callers/index.js';
import type { Caller } from '../../scripts/site/callers/index.js';

const NOTES_TOKENS = 4_200;
const TURN_TOKENS = 100;
const MAX_TOKENS = 8;

/** Conversations that return in turn, so that their gaps outlast the engines' caches. */
export class ReturningLoad {
  wrong = 0;

  private readonly conversations: readonly Conversation[];

  constructor(
    private readonly createCaller: (turn: number) => Caller,
    count: number,
    seed = 1,
  ) {
    const generator = xoroshiro128plus(seed);
    this.conversations = Array.from(
      { length: count },
      () => new Conversation(generator, NOTES_TOKENS, TURN_TOKENS),
    );
  }

  /** Lets every conversation return once, a few at a time. */
  async runRound(): Promise<void> {
    const waiting = [...this.conversations.entries()];
    const work = async (): Promise<void> => {
      for (let next = waiting.shift(); next; next = waiting.shift()) {
        await this.runTurn(next[1], this.createCaller(next[0]));
      }
    };
    await Promise.all([work(), work(), work()]);
  }

  private async runTurn(conversation: Conversation, caller: Caller): Promise<void> {
    const messages = conversation.beginTurn();
    const body = { model: 'house', messages, max_tokens: MAX_TOKENS };
    const { last } = await caller.complete('yard.summary', body);
    const expected = generateAnswer('v1', conversation.getPrompt(), MAX_TOKENS);
    if (last.end.type !== 'whole' || last.text !== expected) {
      this.wrong += 1;
      conversation.withdrawTurn();
    } else conversation.finishTurn(last.text, last.promptTokens);
  }
}
