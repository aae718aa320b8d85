import { createAttemptSender, createEntryDirectory } from '@goldcrestscale/load';
import {
  RetryingClient,
  PhaseMetrics,
  TrafficGenerator,
  NonIdempotentCallTracker,
} from '../site/callers/index.js';
import type { Site } from '../site/index.js';
import type { DemoProfile } from './demoProfiles.js';

const CALLER_TIMEOUT_MS = 15_000;

/** Traffic of all profiles, with separate metrics for each phase. */
export class DemoTraffic {
  readonly tracker = new NonIdempotentCallTracker();

  private metrics = new PhaseMetrics();

  private readonly generators: readonly TrafficGenerator[];

  private readonly sender = createAttemptSender();

  private clientCount = 0;

  constructor(site: Site, profiles: readonly DemoProfile[]) {
    this.generators = profiles.map((profile) => {
      const directory = createEntryDirectory(site.entryAddresses);
      const apiKey = site.table.getApiKey(profile.accountId);
      const createClient = (): RetryingClient => {
        this.clientCount += 1;
        const options = { apiKey, directory, timeoutMs: CALLER_TIMEOUT_MS, sender: this.sender };
        return new RetryingClient({ ...options, firstEntryIndex: this.clientCount });
      };
      return new TrafficGenerator(createClient, profile, ['v1'], this.tracker, () => this.metrics);
    });
  }

  /** Starts a new phase and returns its metrics, which are updated until the next phase. */
  startPhase(): PhaseMetrics {
    this.metrics = new PhaseMetrics();
    return this.metrics;
  }

  /** Sends requests until the signal aborts, then waits for those in flight. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this.generators.map((generator) => generator.run(signal)));
    await this.sender.close();
  }
}
