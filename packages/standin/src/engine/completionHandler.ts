import { setTimeout as sleep } from 'node:timers/promises';
import { buildErrorReply } from '../http/index.js';
import type { Reply, Route, RouteRequest } from '../http/index.js';
import type { ResponseWriter } from './responseWriter.js';
import { Attempt } from './attempt.js';
import type { ResponseFault } from './attempt.js';
import type { BatchSlot } from './batchScheduler.js';
import { generateBlockContent } from './blockContent.js';
import { parseCompletionRequest } from './completionRequest.js';
import type { CompletionRequest } from './completionRequest.js';
import { createResponseWriter } from './createResponseWriter.js';
import type { EngineState } from './engineState.js';

const notExecutedHeaders = { 'x-not-run': 'true' };

/**
 * Runs completions: admission, prefill of the uncached part of the prompt, decoding at a fixed
 * rate.
 */
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
    const completion = parseCompletionRequest(request, chat);
    if (this.state.faults.consume('resetBeforeRun')) {
      request.drop();
      return undefined;
    }
    const errorReply = this.checkAdmission(completion);
    if (errorReply) return errorReply;
    if (this.state.cold && this.state.attempts.inFlight >= this.state.settings.coldConcurrent) {
      this.state.counts.falls += 1;
      this.state.restart(this.state.settings.restartMs);
      request.drop();
      return undefined;
    }
    const attempt = this.createAttempt(completion);
    await this.run(request, attempt);
    return undefined;
  }

  private checkAdmission(request: CompletionRequest): Reply | undefined {
    const { state } = this;
    if (request.model !== state.model) {
      return buildErrorReply(404, 'unknown_model', notExecutedHeaders);
    }
    if (request.weightVersion && request.weightVersion !== state.weightVersion) {
      return buildErrorReply(409, 'weight_version', { ...notExecutedHeaders, 'retry-after': '1' });
    }
    if (state.loading || state.scheduler.waiting >= state.settings.queueLimit) {
      return buildErrorReply(503, 'busy', { ...notExecutedHeaders, 'retry-after': '1' });
    }
    return undefined;
  }

  private createAttempt(request: CompletionRequest): Attempt {
    const { attempts, faults, weightVersion } = this.state;
    if (!faults.consume('crossAnswers')) {
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
      this.countExecution(attempt);
      await this.runPrefill(attempt, signal);
      slot.finishPrefill();
      await this.decode(request, attempt, signal);
      if (bootId === state.bootId && attempt.isComplete) state.completedSinceBoot += 1;
    } catch (error) {
      if (!signal.aborted) throw error;
    } finally {
      slot?.release();
      const resumable = !attempt.isComplete && !attempt.signal.aborted && slot !== undefined;
      state.attempts.remove(attempt, resumable && bootId === state.bootId);
    }
  }

  private countExecution(attempt: Attempt): void {
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
    const cachedBlocks = cache.matchPrefix(blocks);
    cachedBlocks.forEach((block) => this.verifyContent(block.key));
    const cachedTokens = cachedBlocks.reduce((sum, block) => sum + block.tokens, 0);
    attempt.recordCachedTokens(cachedTokens);
    counts.promptTokens += promptTokens;
    counts.cachedTokens += attempt.cachedTokens;
    const uncachedTokens = promptTokens - attempt.cachedTokens;
    const prefillMs = (uncachedTokens / settings.prefillTokensPerSecond) * 1000;
    const prefillVersion = attempt.weightVersion;
    await sleep(prefillMs * faults.current.slowFactor, undefined, { signal });
    if (prefillVersion === this.state.weightVersion) cache.add(blocks);
  }

  private verifyContent(key: string): void {
    const { cache, counts, settings } = this.state;
    const content = cache.getImported(key);
    if (content && !content.equals(generateBlockContent(key, settings.blockBytes))) {
      counts.wrongBlockReads += 1;
    }
  }

  private async decode(request: RouteRequest, attempt: Attempt, signal: AbortSignal) {
    const writer = createResponseWriter(request.response, attempt.request, {
      'x-attempt-id': attempt.request.attemptId,
      'x-weight-version': attempt.weightVersion,
      'x-boot-id': this.state.bootId,
    });
    const fault = this.chooseResponseFault();
    const { maxTokens } = attempt.request;
    const endPosition = fault ? Math.max(attempt.position, Math.floor(maxTokens / 2)) : maxTokens;
    const { settings, faults } = this.state;
    const tokensPerSecond = settings.decodeTokensPerSecond / faults.current.slowFactor;
    await attempt.decode(writer, endPosition, tokensPerSecond, signal);
    this.finishResponse(request, attempt, writer, fault);
  }

  private chooseResponseFault(): ResponseFault | undefined {
    if (this.state.faults.consume('dieMidStream')) return 'cut';
    return this.state.faults.consume('truncate') ? 'truncate' : undefined;
  }

  private finishResponse(
    request: RouteRequest,
    attempt: Attempt,
    writer: ResponseWriter,
    fault: ResponseFault | undefined,
  ): void {
    if (fault === 'cut' || this.state.faults.consume('resetAfterRun')) request.drop();
    else writer.finish(attempt.buildUsage(), fault !== 'truncate');
  }

  private async resume(request: RouteRequest): Promise<Reply | undefined> {
    const disconnected = this.state.attempts.takeDisconnected(request.params.attemptId ?? '');
    if (!disconnected) return buildErrorReply(404, 'not_found', notExecutedHeaders);
    const receivedTokens = Number(request.readJson().tokens ?? 0);
    const resumed = {
      ...disconnected.request,
      receivedTokens,
      blocks: disconnected.request.blocks,
    };
    await this.run(
      request,
      new Attempt(resumed, disconnected.weightVersion, disconnected.request.prompt),
    );
    return undefined;
  }

  private cancel(attemptId: string): Reply {
    return this.state.attempts.cancel(attemptId)
      ? { status: 200, body: { cancelled: true } }
      : buildErrorReply(404, 'not_found');
  }
}
