import { generateAnswer } from '@goldcrestscale/standin';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { Caller, CallResult } from './caller.js';
import { Conversation } from './conversation.js';
import type { StretchFigures } from './stretchFigures.js';
import type { UnrepeatableLedger } from './unrepeatableLedger.js';

/** One workload's callers. */
export interface TrafficProfile {
  readonly workload: string;
  readonly model: string;
  readonly service: string;
  /** Path of the unrepeatable call, for example "/tickets". */
  readonly unrepeatablePath: string;
  /** Path of the idempotent call. */
  readonly lookupPath: string;
  readonly conversations: number;
  readonly notesTokens: number;
  readonly turnTokens: number;
  readonly maxTokens: number;
  /** Completions a second. */
  readonly completionRate: number;
  /** Service calls a second, half of them unrepeatable. */
  readonly serviceRate: number;
  readonly seed: number;
}

const sampleDelayMs = (generator: RandomGenerator, perSecond: number): number =>
  (-Math.log(1 - uniformFloat64(generator)) / perSecond) * 1000;

/** Open-loop traffic of one workload: conversations that return, lookups, unrepeatable calls. */
export class TrafficSource {
  private readonly generator: RandomGenerator;

  private readonly idle: Conversation[] = [];

  private readonly pending = new Set<Promise<void>>();

  private created = 0;

  private serviceCalls = 0;

  constructor(
    private readonly caller: () => Caller,
    private readonly profile: TrafficProfile,
    /** Weight versions whose answers are right now. */
    private readonly versions: readonly string[],
    private readonly ledger: UnrepeatableLedger,
    private readonly getFigures: () => StretchFigures,
  ) {
    this.generator = xoroshiro128plus(profile.seed);
  }

  /** Sends requests at the profile's rates until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { completionRate, serviceRate } = this.profile;
    await Promise.all([
      this.sendRepeatedly(completionRate, signal, () => this.complete()),
      this.sendRepeatedly(serviceRate, signal, () => this.callService()),
    ]);
    await Promise.all(this.pending);
  }

  private async sendRepeatedly(
    perSecond: number,
    signal: AbortSignal,
    send: () => Promise<void>,
  ): Promise<void> {
    if (perSecond === 0) return;
    while (!signal.aborted) {
      await new Promise<void>((resolve) => {
        setTimeout(resolve, sampleDelayMs(this.generator, perSecond));
      });
      if (signal.aborted) return;
      const sent = send().finally(() => this.pending.delete(sent));
      this.pending.add(sent);
    }
  }

  private takeConversation(): Conversation | undefined {
    const { conversations, notesTokens, turnTokens } = this.profile;
    if (this.created < conversations) {
      this.created += 1;
      return new Conversation(this.generator, notesTokens, turnTokens);
    }
    // The longest idle one returns, so that its gap outlasts what engines hold.
    return this.idle.shift();
  }

  private async complete(): Promise<void> {
    const conversation = this.takeConversation();
    if (!conversation) return;
    const { workload, model, maxTokens } = this.profile;
    const messages = conversation.beginTurn();
    const result = await this.caller().complete(workload, {
      model,
      messages,
      max_tokens: maxTokens,
    });
    this.recordCompletion(conversation, result);
    this.idle.push(conversation);
  }

  private recordCompletion(conversation: Conversation, result: CallResult): void {
    const figures = this.getFigures();
    const { last } = result;
    const isRight = last.end.type === 'whole' && this.isRight(conversation.getPrompt(), last.text);
    figures.recordEnd(result, isRight);
    if (last.end.type !== 'whole') {
      conversation.withdrawTurn();
      return;
    }
    const isReturn = conversation.turns > 0;
    const histogram = isReturn ? figures.returningPrompts : figures.firstPrompts;
    histogram.recordValue(Math.max(Math.round(result.firstTokenMs), 1));
    if (isReturn) figures.recordReturn(conversation.seenTokens, last.cachedTokens);
    figures.promptTokens += last.promptTokens;
    figures.cachedTokens += last.cachedTokens;
    conversation.finishTurn(last.text, last.promptTokens);
  }

  private isRight(prompt: string, text: string): boolean {
    const { maxTokens } = this.profile;
    return this.versions.some((version) => generateAnswer(version, prompt, maxTokens) === text);
  }

  private callService(): Promise<void> {
    this.serviceCalls += 1;
    const ref = `${this.profile.workload}-${this.profile.seed}-${this.serviceCalls}`;
    return this.serviceCalls % 2 === 0 ? this.findStock() : this.create(ref);
  }

  private async findStock(): Promise<void> {
    const { service, lookupPath } = this.profile;
    const path = `${lookupPath}/${uniformInt(this.generator, 1, 100)}`;
    const request = { service, method: 'GET', path, unrepeatable: false } as const;
    const result = await this.caller().call(request);
    const isRight =
      result.last.end.type === 'whole' && result.last.text.includes(path.split('/').pop() ?? '');
    this.getFigures().recordEnd(result, isRight);
  }

  private async create(ref: string): Promise<void> {
    const { service, unrepeatablePath: path } = this.profile;
    const body = { ref };
    const request = { service, method: 'POST', path, body, unrepeatable: true } as const;
    const result = await this.caller().call(request);
    const { last } = result;
    const isRight = last.end.type === 'whole' && last.text.includes(`"ref":"${ref}"`);
    this.getFigures().recordEnd(result, isRight);
    if (last.end.type === 'whole') {
      this.ledger.record(ref, 'answered');
      this.getFigures().serviceCalls.recordValue(Math.max(Math.round(result.firstTokenMs), 1));
      return;
    }
    this.ledger.record(ref, result.verdict === 'not-run' ? 'not-run' : 'unknown');
  }
}
