import { createError, toId } from '@goldcrestscale/core';
import type { BootId } from '@goldcrestscale/core';
import type { LoadReport } from '@goldcrestscale/entry';

const SLOTS = 8;
const COLD_SLOTS = 2;
const COLD_COMPLETIONS = 20;
const QUEUE_LIMIT = 32;
const RESTART_MS = 1_000;

const createFailure = (verdict: 'not-run' | 'may-have-run', status = 502): Error =>
  createError('The engine failed.', { code: 'upstream_failed', status, verdict });

interface QueuedRequest {
  start(): void;
  fail(): void;
}

/**
 * Simulated engine with a limited number of slots, a queue, a cold start and connection resets.
 * Callers specify the prefill and decode times of each request.
 */
export class SimulatedEngine {
  isUp = true;

  private resetShare = 0;

  /** Requests received, including those that were reset. */
  receivedCount = 0;

  /** Requests that completed. */
  completedCount = 0;

  /** Peak number of requests in flight while cold. */
  peakColdInFlight = 0;

  /** Crashes because of too many requests while cold. */
  crashes = 0;

  private bootId = 'boot-0';

  private remainingColdCompletions = 0;

  private running = 0;

  private resetAccumulator = 0;

  private queue: QueuedRequest[] = [];

  private readonly history: { atMs: number; running: number; waiting: number; cold: boolean }[] =
    [];

  constructor(readonly index: number) {}

  get isCold(): boolean {
    return this.remainingColdCompletions > 0;
  }

  /** Boot ID that a new connection would reach. */
  get currentBootId(): BootId {
    return toId<BootId>(this.bootId);
  }

  /** Sets the fraction of requests whose connection is reset. */
  setResetShare(share: number): void {
    this.resetShare = share;
  }

  /** Simulates an unexpected restart; requests in flight fail. */
  restart(downMs = RESTART_MS): void {
    this.isUp = false;
    this.queue.splice(0).forEach((waiting) => waiting.fail());
    setTimeout(() => {
      this.isUp = true;
      this.bootId = `boot-${Date.now()}`;
      this.running = 0;
      this.remainingColdCompletions = COLD_COMPLETIONS;
      this.recordLoad();
    }, downMs);
  }

  /** Builds the load report as of `lagMs` ago. */
  buildLoadReport(lagMs: number): LoadReport {
    const sampledAtMs = Date.now() - lagMs;
    const sample = this.history.findLast((entry) => entry.atMs <= sampledAtMs);
    return {
      bootId: this.bootId,
      model: 'small',
      weightVersion: 'v1',
      state: 'serving',
      cold: sample?.cold ?? this.isCold,
      running: sample?.running ?? 0,
      waiting: sample?.waiting ?? 0,
      waitingPromptTokens: 0,
      prefillTokensPerSecond: 1_000,
      maxConcurrent: SLOTS,
      coldConcurrent: COLD_SLOTS,
      ageMs: lagMs,
    };
  }

  /** Runs one request; rejects with an error that carries the verdict. */
  async run(prefillMs: number, decodeMs: number, onFirstToken: () => void): Promise<void> {
    this.receivedCount += 1;
    if (!this.isUp) throw createFailure('not-run');
    this.resetAccumulator += this.resetShare;
    if (this.resetAccumulator >= 1) {
      this.resetAccumulator -= 1;
      throw createFailure('may-have-run');
    }
    if (this.queue.length >= QUEUE_LIMIT) throw createFailure('not-run', 503);
    this.checkColdLimit();
    const { bootId } = this;
    await this.acquireSlot();
    await this.sleepWhileUp(prefillMs, bootId);
    onFirstToken();
    await this.sleepWhileUp(decodeMs, bootId);
    this.completedCount += 1;
    this.remainingColdCompletions = Math.max(0, this.remainingColdCompletions - 1);
    this.releaseSlot();
  }

  /** Crashes the engine if it is cold and exceeds its cold concurrency limit. */
  private checkColdLimit(): void {
    if (!this.isCold) return;
    const inFlight = this.running + this.queue.length + 1;
    this.peakColdInFlight = Math.max(this.peakColdInFlight, inFlight);
    if (inFlight <= COLD_SLOTS) return;
    this.crashes += 1;
    this.restart();
    throw createFailure('may-have-run');
  }

  private acquireSlot(): Promise<void> {
    if (this.running < SLOTS) {
      this.running += 1;
      this.recordLoad();
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      this.queue.push({ start: resolve, fail: () => reject(createFailure('may-have-run')) });
      this.recordLoad();
    });
  }

  private async sleepWhileUp(durationMs: number, bootId: string): Promise<void> {
    await new Promise((resolve) => {
      setTimeout(resolve, durationMs);
    });
    if (!this.isUp || this.bootId !== bootId) throw createFailure('may-have-run');
  }

  private releaseSlot(): void {
    const next = this.queue.shift();
    if (next) next.start();
    else this.running -= 1;
    this.recordLoad();
  }

  private recordLoad(): void {
    this.history.push({
      atMs: Date.now(),
      running: this.running,
      waiting: this.queue.length,
      cold: this.isCold,
    });
    if (this.history.length > 256) this.history.splice(0, 128);
  }
}
