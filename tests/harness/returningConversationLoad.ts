import { generateAnswer } from '@goldcrestscale/standin';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import { Conversation } from '../../scripts/site/callers/index.js';
import type { RetryingClient } from '../../scripts/site/callers/index.js';

const SYSTEM_PROMPT_TOKENS = 4_200;
const TURN_TOKENS = 100;
const MAX_TOKENS = 8;

/**
 * Conversations that continue in round-robin order, so that an engine has evicted a prompt's blocks
 * from its cache by the time the prompt returns.
 */
export class ReturningConversationLoad {
  wrongAnswerCount = 0;

  private readonly conversations: readonly Conversation[];

  constructor(
    private readonly createClient: (firstEntryIndex: number) => RetryingClient,
    count: number,
    seed = 1,
  ) {
    const generator = xoroshiro128plus(seed);
    this.conversations = Array.from(
      { length: count },
      () => new Conversation(generator, SYSTEM_PROMPT_TOKENS, TURN_TOKENS),
    );
  }

  /** Sends the next turn of every conversation, three at a time. */
  async runRound(): Promise<void> {
    const remaining = [...this.conversations.entries()];
    const runWorker = async (): Promise<void> => {
      for (let next = remaining.shift(); next; next = remaining.shift()) {
        await this.runTurn(next[1], this.createClient(next[0]));
      }
    };
    await Promise.all([runWorker(), runWorker(), runWorker()]);
  }

  private async runTurn(conversation: Conversation, client: RetryingClient): Promise<void> {
    const messages = conversation.beginTurn();
    const body = { model: 'house', messages, max_tokens: MAX_TOKENS };
    const { lastAttempt } = await client.complete('yard.summary', body);
    const expected = generateAnswer('v1', conversation.getPrompt(), MAX_TOKENS);
    if (lastAttempt.outcome.type !== 'whole' || lastAttempt.text !== expected) {
      this.wrongAnswerCount += 1;
      conversation.cancelTurn();
    } else conversation.finishTurn(lastAttempt.text, lastAttempt.promptTokens);
  }
}
