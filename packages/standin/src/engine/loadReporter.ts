import type { EngineState } from './engineState.js';

/** Reports the load from a snapshot that is at most `loadLagMs` old. */
export class LoadReporter {
  private snapshot: object = {};

  private takenAtMs = Number.NEGATIVE_INFINITY;

  constructor(private readonly state: EngineState) {}

  report(): object {
    const nowMs = Date.now();
    const { loadLagMs } = this.state.faults.current;
    if (nowMs - this.takenAtMs >= loadLagMs) {
      this.snapshot = this.takeSnapshot();
      this.takenAtMs = nowMs;
    }
    return { ...this.snapshot, ageMs: nowMs - this.takenAtMs };
  }

  private takeSnapshot(): object {
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
