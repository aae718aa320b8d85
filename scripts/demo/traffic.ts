import { createAttemptSender, createEntryDirectory } from '@goldcrestscale/load';
import {
  Caller,
  StretchFigures,
  TrafficSource,
  UnrepeatableLedger,
} from '../site/callers/index.js';
import type { Site } from '../site/index.js';
import type { DemoProfile } from './profiles.js';

const CALLER_TIMEOUT_MS = 15_000;

/** Traffic of all profiles; its figures go to the stretch that runs. */
export class DemoTraffic {
  readonly ledger = new UnrepeatableLedger();

  private figures = new StretchFigures();

  private readonly sources: readonly TrafficSource[];

  private readonly sender = createAttemptSender();

  private turn = 0;

  constructor(site: Site, profiles: readonly DemoProfile[]) {
    this.sources = profiles.map((profile) => {
      const directory = createEntryDirectory(site.entryAddresses);
      const apiKey = site.table.getApiKey(profile.accountId);
      const createCaller = (): Caller => {
        this.turn += 1;
        const options = { apiKey, directory, timeoutMs: CALLER_TIMEOUT_MS, sender: this.sender };
        return new Caller({ ...options, firstTurn: this.turn });
      };
      return new TrafficSource(createCaller, profile, ['v1'], this.ledger, () => this.figures);
    });
  }

  /** Begins a new stretch and gives the figures that it fills. */
  beginStretch(): StretchFigures {
    this.figures = new StretchFigures();
    return this.figures;
  }

  /** Sends requests until the signal aborts and the last one has ended. */
  async run(signal: AbortSignal): Promise<void> {
    await Promise.all(this.sources.map((source) => source.run(signal)));
    await this.sender.close();
  }
}
