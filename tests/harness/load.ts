import { onTestFinished } from 'vitest';
import { generateAnswer, renderPrompt } from '@goldcrestscale/standin';
import { waitUntil } from '../../scripts/site/index.js';
import type { Caller, CallResult } from '../../scripts/site/callers/index.js';
import type { TestSite } from './testSite.js';

const MODEL = 'house';
const PROMPT_BYTES = 6_000;

/** How a completion ended, with whether its text was the right one. */
export interface CheckedCompletion {
  readonly result: CallResult;
  readonly isRight: boolean;
}

/** Runs one chat completion and checks its answer as a whole. */
export const runCompletion = async (
  caller: Caller,
  name: string,
  maxTokens = 40,
): Promise<CheckedCompletion> => {
  const content = `${name} ${'log scale '.repeat(PROMPT_BYTES / 10)}`;
  const messages = [{ role: 'user', content }];
  const body = { model: MODEL, messages, max_tokens: maxTokens };
  const result = await caller.complete('yard.summary', body);
  const expected = generateAnswer('v1', renderPrompt(messages), maxTokens);
  return { result, isRight: result.last.end.type === 'whole' && result.last.text === expected };
};

/** Issues one ticket under an idempotency key. */
export const issueTicket = (
  caller: Caller,
  ref: string,
  idempotencyKey: string,
): Promise<CallResult> =>
  caller.call({
    service: 'office',
    method: 'POST',
    path: '/tickets',
    body: { ref },
    unrepeatable: true,
    idempotencyKey,
  });

/** Keeps a number of callers busy, one request after the other, until stopped. */
export class SteadyLoad {
  readonly ended: CheckedCompletion[] = [];

  private isStopped = false;

  private readonly workers: Promise<void>[];

  constructor(createCaller: (turn: number) => Caller, callers: number) {
    this.workers = Array.from({ length: callers }, (_, index) =>
      this.work(createCaller(index), index),
    );
  }

  /** Lets the running requests end and gives all of them. */
  async stop(): Promise<CheckedCompletion[]> {
    this.isStopped = true;
    await Promise.all(this.workers);
    return this.ended;
  }

  private async work(caller: Caller, index: number): Promise<void> {
    for (let turn = 0; !this.isStopped; turn += 1) {
      this.ended.push(await runCompletion(caller, `worker ${index} turn ${turn}`));
    }
  }
}

/** Starts a load and waits until it runs; it ends with the test at the latest. */
export const startLoad = async (started: TestSite, callers: number): Promise<SteadyLoad> => {
  const load = new SteadyLoad((turn) => started.createCaller(turn), callers);
  onTestFinished(async () => {
    await load.stop();
  });
  await waitUntil('the load runs', () => load.ended.length > callers);
  return load;
};

/** Lists what a load's callers must not have met: wrong, missing and cut answers. */
export const listFaults = (ended: readonly CheckedCompletion[]): string[] =>
  ended.flatMap(({ result, isRight }) => {
    const cuts = result.ends.filter(({ type }) => type === 'cut' || type === 'truncated');
    const faults = cuts.map(() => 'cut');
    return isRight ? faults : [...faults, `no right answer: ${JSON.stringify(result.ends)}`];
  });
