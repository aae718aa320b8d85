import type { EngineState } from './engineState.js';

/** Reports the load, up to `loadLagMs` old. */
export class LoadReporter {
  private snapshot: object = {};

  private takenAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly state: EngineState) {}

  report(): object {
    const now = Date.now();
    const { loadLagMs } = this.state.faults.current;
    if (now - this.takenAtMs >= loadLagMs) {
      this.snapshot = this.take();
      this.takenAtMs = now;
    }
    return { ...this.snapshot, ageMs: now - this.takenAtMs };
  }

  private take(): object {
    const { state } = this;
    const { settings, scheduler } = state;
    return {
      bootId: state.bootId,
      state: state.activity,
      model: state.model,
      weightVersion: state.weightVersion,
      adapters: [...state.adapters],
      role: state.role,
      cold: state.cold,
      running: scheduler.running,
      waiting: scheduler.waiting,
      waitingPromptTokens: scheduler.waitingPromptTokens,
      prefillTokensPerSecond: settings.prefillTokensPerSecond,
      decodeTokensPerSecond: settings.decodeTokensPerSecond,
      maxConcurrent: settings.maxConcurrent,
      coldConcurrent: settings.coldConcurrent,
      cachedBlocks: state.cache.size,
      cacheCapacityBlocks: settings.cacheCapacityBlocks,
    };
  }
}
