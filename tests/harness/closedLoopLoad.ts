import { onTestFinished } from 'vitest';
import { generateAnswer, renderPrompt } from '@goldcrestscale/standin';
import { waitUntil } from '../../scripts/site/index.js';
import type { RetryingClient, CallResult } from '../../scripts/site/callers/index.js';
import type { TestSite } from './testSite.js';

const MODEL = 'house';
const PROMPT_BYTES = 6_000;

/** Result of a completion, and whether its text matches the expected answer. */
export interface CheckedCompletion {
  readonly result: CallResult;
  readonly isCorrect: boolean;
}

/** Runs one chat completion and compares the complete answer with the expected one. */
export const runCompletion = async (
  client: RetryingClient,
  name: string,
  maxTokens = 40,
): Promise<CheckedCompletion> => {
  const content = `${name} ${'log scale '.repeat(PROMPT_BYTES / 10)}`;
  const messages = [{ role: 'user', content }];
  const body = { model: MODEL, messages, max_tokens: maxTokens };
  const result = await client.complete('yard.summary', body);
  const expected = generateAnswer('v1', renderPrompt(messages), maxTokens);
  return {
    result,
    isCorrect: result.lastAttempt.outcome.type === 'whole' && result.lastAttempt.text === expected,
  };
};

/** Creates one ticket under an idempotency key. */
export const issueTicket = (
  client: RetryingClient,
  ref: string,
  idempotencyKey: string,
): Promise<CallResult> =>
  client.call({
    service: 'office',
    method: 'POST',
    path: '/tickets',
    body: { ref },
    nonIdempotent: true,
    idempotencyKey,
  });

/** Closed-loop load: each client sends its next request when the previous one has ended. */
export class ClosedLoopLoad {
  readonly completions: CheckedCompletion[] = [];

  private isStopped = false;

  private readonly workers: Promise<void>[];

  constructor(createClient: (firstEntryIndex: number) => RetryingClient, clientCount: number) {
    this.workers = Array.from({ length: clientCount }, (_, index) =>
      this.runWorker(createClient(index), index),
    );
  }

  /** Sends no further requests, waits for those in flight and returns all completions. */
  async stop(): Promise<CheckedCompletion[]> {
    this.isStopped = true;
    await Promise.all(this.workers);
    return this.completions;
  }

  private async runWorker(client: RetryingClient, index: number): Promise<void> {
    for (let turn = 0; !this.isStopped; turn += 1) {
      this.completions.push(await runCompletion(client, `worker ${index} turn ${turn}`));
    }
  }
}

/** Starts a load and waits for its first completions; it is stopped when the test finishes. */
export const startLoad = async (
  testSite: TestSite,
  clientCount: number,
): Promise<ClosedLoopLoad> => {
  const load = new ClosedLoopLoad((index) => testSite.createClient(index), clientCount);
  onTestFinished(async () => {
    await load.stop();
  });
  await waitUntil('the load has completed requests', () => load.completions.length > clientCount);
  return load;
};

/** Lists the errors that clients must not see: wrong, missing and truncated answers. */
export const listErrors = (completions: readonly CheckedCompletion[]): string[] =>
  completions.flatMap(({ result, isCorrect }) => {
    const cuts = result.attemptEnds.filter(({ type }) => type === 'cut' || type === 'truncated');
    const errors = cuts.map(() => 'connection closed before the end of the answer');
    return isCorrect
      ? errors
      : [...errors, `no correct answer: ${JSON.stringify(result.attemptEnds)}`];
  });
