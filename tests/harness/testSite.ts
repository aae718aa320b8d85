import { createAttemptSender, createEntryDirectory } from '@goldcrestscale/load';
import type { EntryDirectory } from '@goldcrestscale/load';
import { Caller, createFixedDirectory } from '../../scripts/site/callers/index.js';
import { requestJson, Site } from '../../scripts/site/index.js';
import type { SiteSettings } from '../../scripts/site/index.js';

const zones = ['zone-a', 'zone-b', 'zone-c'] as const;
const ENTRIES_TTL_MS = 500;

/** Settings of one engine in each zone. */
export interface TestSiteOptions {
  readonly engine?: Readonly<Record<string, unknown>>;
  readonly service?: Readonly<Record<string, unknown>>;
  /** Settings of each of two store VMs; absent: there are none. */
  readonly store?: Readonly<Record<string, unknown>>;
}

const createSettings = ({ engine = {}, service = {}, store }: TestSiteOptions): SiteSettings => ({
  name: 'test',
  entries: zones.map((availabilityZone, index) => ({
    vmId: `entry-${index + 1}`,
    availabilityZone,
    settings: { entriesTtlMs: ENTRIES_TTL_MS },
  })),
  engines: zones.map((availabilityZone, index) => ({
    vmId: `engine-${index + 1}`,
    availabilityZone,
    settings: { coldCompletions: 0, ...engine },
  })),
  stores: store
    ? ['store-1', 'store-2'].map((vmId, index) => ({
        vmId,
        availabilityZone: zones[index] ?? '',
        settings: store,
      }))
    : [],
  services: [
    {
      vmId: 'service-1',
      availabilityZone: 'zone-b',
      service: 'office',
      settings: { coldCompletions: 0, ...service },
    },
  ],
  weights: {},
  table: [
    ...zones.map((id) => ({ kind: 'zone', id })),
    { kind: 'model', id: 'house', version: 'v1' },
    {
      kind: 'service',
      id: 'office',
      unrepeatable: [{ method: 'POST', pathPrefix: '/tickets' }],
    },
    { kind: 'account', id: 'yard' },
    { kind: 'workload', id: 'yard.summary', accountId: 'yard', model: 'house' },
    { kind: 'workload', id: 'yard.tickets', accountId: 'yard', service: 'office' },
  ],
});

/** What the plain service has run. */
export interface ServiceCounts {
  readonly runs: Readonly<Record<string, number>>;
}

/** What an engine has run. */
export interface EngineCounts {
  readonly completions: number;
  readonly falls: number;
  readonly wrongBlockReads: number;
}

/** Load report of an engine. */
export interface EngineLoad {
  readonly bootId: string;
  readonly cold: boolean;
  readonly weightVersion: string;
}

/** A site of three entry VMs, three engines and one service, with its callers. */
export class TestSite {
  readonly site: Site;

  private readonly sender = createAttemptSender();

  constructor(options: TestSiteOptions = {}) {
    this.site = new Site(createSettings(options));
  }

  /** Creates a caller that begins at one of the entry VMs. */
  createCaller(firstTurn = 0, timeoutMs = 20_000): Caller {
    const directory = createEntryDirectory(this.site.entryAddresses);
    return this.createCallerOf(directory, firstTurn, timeoutMs);
  }

  /** Creates a caller that knows only the given entry VMs. */
  createCallerAt(ids: readonly string[], timeoutMs = 20_000): Caller {
    const directory = createFixedDirectory(ids.map((id) => this.site.getAddress(id)));
    return this.createCallerOf(directory, 0, timeoutMs);
  }

  readServiceCounts(): Promise<ServiceCounts> {
    return this.site.readCounts<ServiceCounts>('service-1');
  }

  readEngineCounts(id: string): Promise<EngineCounts> {
    return this.site.readCounts<EngineCounts>(id);
  }

  /** Reads an engine's load report; an empty one while it takes no connection. */
  async readEngineLoad(id: string): Promise<EngineLoad> {
    const none = { bootId: '', cold: true, weightVersion: '' };
    return requestJson<EngineLoad>(`${this.site.getUrl(id)}/load`).catch(() => none);
  }

  private createCallerOf(directory: EntryDirectory, firstTurn: number, timeoutMs: number): Caller {
    const apiKey = this.site.table.getApiKey('yard');
    return new Caller({ apiKey, directory, sender: this.sender, timeoutMs, firstTurn });
  }
}
