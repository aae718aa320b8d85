import { generateAnswer } from '@goldcrestscale/standin';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { xoroshiro128plus } from 'pure-rand/generator/xoroshiro128plus';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { RetryingClient, CallResult } from './retryingClient.js';
import { Conversation } from './conversation.js';
import type { PhaseMetrics } from './phaseMetrics.js';
import type { NonIdempotentCallTracker } from './nonIdempotentCallTracker.js';

/** Request rates and sizes of one workload. */
export interface TrafficProfile {
  readonly workload: string;
  readonly model: string;
  readonly service: string;
  /** Path of the non-idempotent call, for example "/tickets". */
  readonly nonIdempotentPath: string;
  /** Path of the idempotent call. */
  readonly lookupPath: string;
  readonly maxConversations: number;
  readonly systemPromptTokens: number;
  readonly turnTokens: number;
  readonly maxTokens: number;
  readonly completionsPerSecond: number;
  /** Half of the service calls are non-idempotent. */
  readonly serviceCallsPerSecond: number;
  readonly seed: number;
}

const sampleDelayMs = (generator: RandomGenerator, requestsPerSecond: number): number =>
  (-Math.log(1 - uniformFloat64(generator)) / requestsPerSecond) * 1000;

/** Open-loop traffic of one workload: multi-turn conversations, lookups and non-idempotent calls. */
export class TrafficGenerator {
  private readonly generator: RandomGenerator;

  private readonly idleConversations: Conversation[] = [];

  private readonly pendingRequests = new Set<Promise<void>>();

  private conversationCount = 0;

  private serviceCallCount = 0;

  constructor(
    private readonly createClient: () => RetryingClient,
    private readonly profile: TrafficProfile,
    /** Weight versions whose answers count as correct. */
    private readonly acceptedVersions: readonly string[],
    private readonly tracker: NonIdempotentCallTracker,
    private readonly getMetrics: () => PhaseMetrics,
  ) {
    this.generator = xoroshiro128plus(profile.seed);
  }

  /** Sends requests at the profile's rates until the signal aborts. */
  async run(signal: AbortSignal): Promise<void> {
    const { completionsPerSecond, serviceCallsPerSecond } = this.profile;
    await Promise.all([
      this.sendAtRate(completionsPerSecond, signal, () => this.runCompletion()),
      this.sendAtRate(serviceCallsPerSecond, signal, () => this.callService()),
    ]);
    await Promise.all(this.pendingRequests);
  }

  private async sendAtRate(
    requestsPerSecond: number,
    signal: AbortSignal,
    send: () => Promise<void>,
  ): Promise<void> {
    if (requestsPerSecond === 0) return;
    while (!signal.aborted) {
      await new Promise<void>((resolve) => {
        setTimeout(resolve, sampleDelayMs(this.generator, requestsPerSecond));
      });
      if (signal.aborted) return;
      const sent = send().finally(() => this.pendingRequests.delete(sent));
      this.pendingRequests.add(sent);
    }
  }

  private takeConversation(): Conversation | undefined {
    const { maxConversations, systemPromptTokens, turnTokens } = this.profile;
    if (this.conversationCount < maxConversations) {
      this.conversationCount += 1;
      return new Conversation(this.generator, systemPromptTokens, turnTokens);
    }
    // The longest idle conversation is next, so that engines have evicted its blocks by then.
    return this.idleConversations.shift();
  }

  private async runCompletion(): Promise<void> {
    const conversation = this.takeConversation();
    if (!conversation) return;
    const { workload, model, maxTokens } = this.profile;
    const messages = conversation.beginTurn();
    const result = await this.createClient().complete(workload, {
      model,
      messages,
      max_tokens: maxTokens,
    });
    this.recordCompletion(conversation, result);
    this.idleConversations.push(conversation);
  }

  private recordCompletion(conversation: Conversation, result: CallResult): void {
    const metrics = this.getMetrics();
    const { lastAttempt } = result;
    const isCorrect =
      lastAttempt.outcome.type === 'whole' &&
      this.isExpectedAnswer(conversation.getPrompt(), lastAttempt.text);
    metrics.recordResult(result, isCorrect);
    if (lastAttempt.outcome.type !== 'whole') {
      conversation.cancelTurn();
      return;
    }
    const isReturning = conversation.turns > 0;
    const histogram = isReturning ? metrics.returningPromptTtftMs : metrics.firstPromptTtftMs;
    histogram.recordValue(Math.max(Math.round(result.firstTokenMs), 1));
    if (isReturning) metrics.recordReturn(conversation.reusableTokens, lastAttempt.cachedTokens);
    metrics.promptTokens += lastAttempt.promptTokens;
    metrics.cachedTokens += lastAttempt.cachedTokens;
    conversation.finishTurn(lastAttempt.text, lastAttempt.promptTokens);
  }

  private isExpectedAnswer(prompt: string, text: string): boolean {
    const { maxTokens } = this.profile;
    return this.acceptedVersions.some(
      (version) => generateAnswer(version, prompt, maxTokens) === text,
    );
  }

  private callService(): Promise<void> {
    this.serviceCallCount += 1;
    const ref = `${this.profile.workload}-${this.profile.seed}-${this.serviceCallCount}`;
    return this.serviceCallCount % 2 === 0 ? this.fetchStock() : this.createRecord(ref);
  }

  private async fetchStock(): Promise<void> {
    const { service, lookupPath } = this.profile;
    const path = `${lookupPath}/${uniformInt(this.generator, 1, 100)}`;
    const request = { service, method: 'GET', path, nonIdempotent: false } as const;
    const result = await this.createClient().call(request);
    const isCorrect =
      result.lastAttempt.outcome.type === 'whole' &&
      result.lastAttempt.text.includes(path.split('/').pop() ?? '');
    this.getMetrics().recordResult(result, isCorrect);
  }

  private async createRecord(ref: string): Promise<void> {
    const { service, nonIdempotentPath: path } = this.profile;
    const body = { ref };
    const request = { service, method: 'POST', path, body, nonIdempotent: true } as const;
    const result = await this.createClient().call(request);
    const { lastAttempt } = result;
    const isCorrect =
      lastAttempt.outcome.type === 'whole' && lastAttempt.text.includes(`"ref":"${ref}"`);
    this.getMetrics().recordResult(result, isCorrect);
    if (lastAttempt.outcome.type === 'whole') {
      this.tracker.record(ref, 'answered');
      this.getMetrics().nonIdempotentCallMs.recordValue(
        Math.max(Math.round(result.firstTokenMs), 1),
      );
      return;
    }
    this.tracker.record(ref, result.verdict === 'not-run' ? 'not-run' : 'unknown');
  }
}
