import { setTimeout as sleep } from 'node:timers/promises';
import { buildErrorReply } from '../http/index.js';
import type { Reply, Route, RouteRequest } from '../http/index.js';
import type { AnswerSink } from './answerSink.js';
import { Attempt } from './attempt.js';
import type { AnswerBreak } from './attempt.js';
import type { BatchSlot } from './batchScheduler.js';
import { generateBlockContent } from './blockContent.js';
import { parseCompletionRequest } from './completionRequest.js';
import type { CompletionRequest } from './completionRequest.js';
import { createAnswerSink } from './createAnswerSink.js';
import type { EngineState } from './engineState.js';

const notRun = { 'x-not-run': 'true' };

/** Runs completions: admission, prefill over the uncached prompt, paced decoding. */
export class CompletionHandler {
  readonly routes: readonly Route[] = [
    {
      method: 'POST',
      path: '/v1/chat/completions',
      handle: (request) => this.handle(request, true),
    },
    { method: 'POST', path: '/v1/completions', handle: (request) => this.handle(request, false) },
    {
      method: 'POST',
      path: '/v1/requests/:attemptId/resume',
      handle: (request) => this.resume(request),
    },
    {
      method: 'DELETE',
      path: '/v1/requests/:attemptId',
      handle: (request) => this.cancel(request.params.attemptId ?? ''),
    },
  ];

  constructor(private readonly state: EngineState) {}

  private async handle(request: RouteRequest, chat: boolean): Promise<Reply | undefined> {
    const parsed = parseCompletionRequest(request, chat);
    if (this.state.faults.takeOne('resetBeforeRun')) {
      request.drop();
      return undefined;
    }
    const refusal = this.refuse(parsed);
    if (refusal) return refusal;
    if (this.state.cold && this.state.attempts.inFlight >= this.state.settings.coldConcurrent) {
      this.state.counts.falls += 1;
      this.state.reset(this.state.settings.restartMs);
      request.drop();
      return undefined;
    }
    const attempt = this.createAttempt(parsed);
    await this.run(request, attempt);
    return undefined;
  }

  private refuse(request: CompletionRequest): Reply | undefined {
    const { state } = this;
    if (request.model !== state.model) {
      return buildErrorReply(404, 'unknown_model', notRun);
    }
    if (request.weightVersion && request.weightVersion !== state.weightVersion) {
      return buildErrorReply(409, 'weight_version', { ...notRun, 'retry-after': '1' });
    }
    if (state.loading || state.scheduler.waiting >= state.settings.queueLimit) {
      return buildErrorReply(503, 'busy', { ...notRun, 'retry-after': '1' });
    }
    return undefined;
  }

  private createAttempt(request: CompletionRequest): Attempt {
    const { attempts, faults, weightVersion } = this.state;
    if (!faults.takeOne('crossAnswers')) {
      return new Attempt(request, weightVersion, request.prompt);
    }
    const other = attempts.findOther(request.attemptId)?.request;
    const crossed = { ...request, attemptId: other?.attemptId ?? `other-${request.attemptId}` };
    return new Attempt(crossed, weightVersion, other?.prompt ?? 'another prompt');
  }

  private async run(request: RouteRequest, attempt: Attempt): Promise<void> {
    const { state } = this;
    const { bootId } = state;
    const signal = AbortSignal.any([request.signal, attempt.signal]);
    state.attempts.add(attempt);
    attempt.signal.addEventListener('abort', () => request.drop(), { once: true });
    let slot: BatchSlot | undefined;
    try {
      const { priority, promptTokens } = attempt.request;
      slot = await state.scheduler.acquire(priority, promptTokens, signal);
      this.countRun(attempt);
      await this.runPrefill(attempt, signal);
      slot.finishPrefill();
      await this.decode(request, attempt, signal);
      if (bootId === state.bootId && attempt.isWhole) state.completedSinceBoot += 1;
    } catch (error) {
      if (!signal.aborted) throw error;
    } finally {
      slot?.release();
      const resumable = !attempt.isWhole && !attempt.signal.aborted && slot !== undefined;
      state.attempts.remove(attempt, resumable && bootId === state.bootId);
    }
  }

  private countRun(attempt: Attempt): void {
    const { counts } = this.state;
    const { ref, receivedTokens } = attempt.request;
    counts.completions += 1;
    if (ref !== undefined && receivedTokens === 0) {
      counts.runs.set(ref, (counts.runs.get(ref) ?? 0) + 1);
    }
  }

  private async runPrefill(attempt: Attempt, signal: AbortSignal): Promise<void> {
    const { cache, counts, settings, faults } = this.state;
    const { blocks, promptTokens } = attempt.request;
    const held = cache.match(blocks);
    held.forEach((block) => this.checkContent(block.key));
    const heldTokens = held.reduce((sum, block) => sum + block.tokens, 0);
    attempt.noteCachedTokens(heldTokens);
    counts.promptTokens += promptTokens;
    counts.cachedTokens += attempt.cachedTokens;
    const computed = promptTokens - attempt.cachedTokens;
    const prefillMs = (computed / settings.prefillTokensPerSecond) * 1000;
    const version = attempt.weightVersion;
    await sleep(prefillMs * faults.current.slowFactor, undefined, { signal });
    if (version === this.state.weightVersion) cache.add(blocks);
  }

  private checkContent(key: string): void {
    const { cache, counts, settings } = this.state;
    const content = cache.getImported(key);
    if (content && !content.equals(generateBlockContent(key, settings.blockBytes))) {
      counts.wrongBlockReads += 1;
    }
  }

  private async decode(request: RouteRequest, attempt: Attempt, signal: AbortSignal) {
    const sink = createAnswerSink(request.response, attempt.request, {
      'x-attempt-id': attempt.request.attemptId,
      'x-weight-version': attempt.weightVersion,
      'x-boot-id': this.state.bootId,
    });
    const broken = this.chooseBreak();
    const { maxTokens } = attempt.request;
    const until = broken ? Math.max(attempt.position, Math.floor(maxTokens / 2)) : maxTokens;
    const { settings, faults } = this.state;
    const tokensPerSecond = settings.decodeTokensPerSecond / faults.current.slowFactor;
    await attempt.decode(sink, until, tokensPerSecond, signal);
    this.finish(request, attempt, sink, broken);
  }

  private chooseBreak(): AnswerBreak | undefined {
    if (this.state.faults.takeOne('dieMidStream')) return 'cut';
    return this.state.faults.takeOne('truncate') ? 'truncate' : undefined;
  }

  private finish(
    request: RouteRequest,
    attempt: Attempt,
    sink: AnswerSink,
    broken: AnswerBreak | undefined,
  ): void {
    if (broken === 'cut' || this.state.faults.takeOne('resetAfterRun')) request.drop();
    else sink.finish(attempt.describeUsage(), broken !== 'truncate');
  }

  private async resume(request: RouteRequest): Promise<Reply | undefined> {
    const broken = this.state.attempts.takeBroken(request.params.attemptId ?? '');
    if (!broken) return buildErrorReply(404, 'not_found', notRun);
    const receivedTokens = Number(request.readJson().tokens ?? 0);
    const resumed = { ...broken.request, receivedTokens, blocks: broken.request.blocks };
    await this.run(request, new Attempt(resumed, broken.weightVersion, broken.request.prompt));
    return undefined;
  }

  private cancel(attemptId: string): Reply {
    return this.state.attempts.cancel(attemptId)
      ? { status: 200, body: { cancelled: true } }
      : buildErrorReply(404, 'not_found');
  }
}
