import { createAttemptSender, createEntryDirectory } from '@goldcrestscale/load';
import type { EntryDirectory } from '@goldcrestscale/load';
import { RetryingClient, createFixedDirectory } from '../../scripts/site/callers/index.js';
import { requestJson, Site } from '../../scripts/site/index.js';
import type { SiteSettings } from '../../scripts/site/index.js';

const zones = ['zone-a', 'zone-b', 'zone-c'] as const;
const ENTRIES_TTL_MS = 500;

/** Settings of the test site's VMs; every VM of a role has the same. */
export interface TestSiteOptions {
  readonly engine?: Readonly<Record<string, unknown>>;
  readonly service?: Readonly<Record<string, unknown>>;
  /** Settings of each of the two store VMs; absent: the site has no store VMs. */
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

/** Counts of the plain service: runs by request reference. */
export interface ServiceCounts {
  readonly runs: Readonly<Record<string, number>>;
}

/** Counts of an engine: `falls` are crashes because of too many requests while it was cold. */
export interface EngineCounts {
  readonly completions: number;
  readonly falls: number;
  readonly wrongBlockReads: number;
}

/** Fields of an engine's load report that tests use. */
export interface EngineLoad {
  readonly bootId: string;
  readonly cold: boolean;
  readonly weightVersion: string;
}

/** A site of three entry VMs, three engines and one service, with factories for its clients. */
export class TestSite {
  readonly site: Site;

  private readonly sender = createAttemptSender();

  constructor(options: TestSiteOptions = {}) {
    this.site = new Site(createSettings(options));
  }

  /** Creates a client that sends its first attempt to the entry VM at the given index. */
  createClient(firstEntryIndex = 0, timeoutMs = 20_000): RetryingClient {
    const directory = createEntryDirectory(this.site.entryAddresses);
    return this.buildClient(directory, firstEntryIndex, timeoutMs);
  }

  /** Creates a client that knows only the given entry VMs. */
  createClientFor(ids: readonly string[], timeoutMs = 20_000): RetryingClient {
    const directory = createFixedDirectory(ids.map((id) => this.site.getAddress(id)));
    return this.buildClient(directory, 0, timeoutMs);
  }

  readServiceCounts(): Promise<ServiceCounts> {
    return this.site.readCounts<ServiceCounts>('service-1');
  }

  readEngineCounts(id: string): Promise<EngineCounts> {
    return this.site.readCounts<EngineCounts>(id);
  }

  /** Reads an engine's load report; returns an empty one while the engine accepts no connection. */
  async readEngineLoad(id: string): Promise<EngineLoad> {
    const none = { bootId: '', cold: true, weightVersion: '' };
    return requestJson<EngineLoad>(`${this.site.getUrl(id)}/load`).catch(() => none);
  }

  private buildClient(
    directory: EntryDirectory,
    firstEntryIndex: number,
    timeoutMs: number,
  ): RetryingClient {
    const apiKey = this.site.table.getApiKey('yard');
    return new RetryingClient({
      apiKey,
      directory,
      sender: this.sender,
      timeoutMs,
      firstEntryIndex,
    });
  }
}
