import { AttemptRunner } from '@goldcrestscale/entry';
import type { Attempt } from '@goldcrestscale/entry';
import type { SimulatedEngine } from './simulatedEngine.js';

/** Runs attempts on simulated engines. */
export class SimulatedEngineRunner extends AttemptRunner {
  constructor(private readonly getEngine: (upstreamId: string) => SimulatedEngine) {
    super();
  }

  override async run(attempt: Attempt): Promise<void> {
    const { exchange, upstream } = attempt;
    if (exchange.target.kind !== 'completion') throw new TypeError('not a completion');
    const { prefillMs, decodeMs } = exchange.target.fields as {
      prefillMs: number;
      decodeMs: number;
    };
    const engine = this.getEngine(upstream.upstreamId);
    attempt.onBeforeSend?.(engine.currentBootId);
    await engine.run(prefillMs, decodeMs, () => {
      attempt.onFirstByte();
      if (!exchange.response.isHeadSent) exchange.response.writeHead(200, {});
    });
  }
}
