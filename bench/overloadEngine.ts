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

interface Waiting {
  start(): void;
  fail(): void;
}

/** Engine with a few slots, a queue, a cold start and resets; answers take the time they are told. */
export class FakeEngine {
  isUp = true;

  private resetShare = 0;

  /** Requests that it received, resets included. */
  received = 0;

  /** Requests that ran to their end. */
  completed = 0;

  /** Most requests in flight while it was cold. */
  coldPeak = 0;

  /** Times that it fell over. */
  falls = 0;

  private bootId = 'boot-0';

  private coldLeft = 0;

  private running = 0;

  private resetSum = 0;

  private queue: Waiting[] = [];

  private readonly history: { atMs: number; running: number; waiting: number; cold: boolean }[] =
    [];

  constructor(readonly index: number) {}

  get isCold(): boolean {
    return this.coldLeft > 0;
  }

  /** Run that a new connection leads to. */
  get currentBootId(): BootId {
    return toId<BootId>(this.bootId);
  }

  /** Sets the share of requests whose connection is reset. */
  setResetShare(share: number): void {
    this.resetShare = share;
  }

  /** Restarts without notice; requests in flight are lost. */
  restart(downMs = RESTART_MS): void {
    this.isUp = false;
    this.queue.splice(0).forEach((waiting) => waiting.fail());
    setTimeout(() => {
      this.isUp = true;
      this.bootId = `boot-${Date.now()}`;
      this.running = 0;
      this.coldLeft = COLD_COMPLETIONS;
      this.note();
    }, downMs);
  }

  /** Gives the load as it was a while ago. */
  describeLoad(lagMs: number): LoadReport {
    const takenAtMs = Date.now() - lagMs;
    const then = this.history.findLast((one) => one.atMs <= takenAtMs);
    return {
      bootId: this.bootId,
      model: 'small',
      weightVersion: 'v1',
      state: 'serving',
      cold: then?.cold ?? this.isCold,
      running: then?.running ?? 0,
      waiting: then?.waiting ?? 0,
      waitingPromptTokens: 0,
      prefillTokensPerSecond: 1_000,
      maxConcurrent: SLOTS,
      coldConcurrent: COLD_SLOTS,
      ageMs: lagMs,
    };
  }

  /** Runs one request; rejects with the verdict of its failure. */
  async run(prefillMs: number, decodeMs: number, onFirstToken: () => void): Promise<void> {
    this.received += 1;
    if (!this.isUp) throw createFailure('not-run');
    this.resetSum += this.resetShare;
    if (this.resetSum >= 1) {
      this.resetSum -= 1;
      throw createFailure('may-have-run');
    }
    if (this.queue.length >= QUEUE_LIMIT) throw createFailure('not-run', 503);
    this.checkCold();
    const { bootId } = this;
    await this.takeSlot();
    await this.sleepWhileUp(prefillMs, bootId);
    onFirstToken();
    await this.sleepWhileUp(decodeMs, bootId);
    this.completed += 1;
    this.coldLeft = Math.max(0, this.coldLeft - 1);
    this.releaseSlot();
  }

  /** A cold engine falls over when it gets more than it bears. */
  private checkCold(): void {
    if (!this.isCold) return;
    const inFlight = this.running + this.queue.length + 1;
    this.coldPeak = Math.max(this.coldPeak, inFlight);
    if (inFlight <= COLD_SLOTS) return;
    this.falls += 1;
    this.restart();
    throw createFailure('may-have-run');
  }

  private takeSlot(): Promise<void> {
    if (this.running < SLOTS) {
      this.running += 1;
      this.note();
      return Promise.resolve();
    }
    return new Promise((resolve, reject) => {
      this.queue.push({ start: resolve, fail: () => reject(createFailure('may-have-run')) });
      this.note();
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
    this.note();
  }

  private note(): void {
    this.history.push({
      atMs: Date.now(),
      running: this.running,
      waiting: this.queue.length,
      cold: this.isCold,
    });
    if (this.history.length > 256) this.history.splice(0, 128);
  }
}
