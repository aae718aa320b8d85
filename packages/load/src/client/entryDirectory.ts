import { request } from 'undici';
import { z } from 'zod';
import { ENTRIES_TIMEOUT_MS } from '../constants.js';

const HTTP_OK = 200;
const MAX_CACHED_SESSIONS = 10_000;

const entriesSchema = z.object({
  entries: z.array(z.object({ address: z.string(), availabilityZone: z.string() })).min(1),
  ttlMs: z.number().nonnegative(),
});

interface CachedAddresses {
  readonly addresses: readonly string[];
  readonly expiresAtMs: number;
}

/** Looks up the entry VMs to use and caches each list until its TTL expires. */
export interface EntryDirectory {
  /**
   * Gets the addresses for a session in order of preference; falls back to expired ones if no entry
   * VM responds.
   */
  getAddresses(session: string, signal: AbortSignal): Promise<readonly string[]>;
}

const fetchAddresses = async (
  address: string,
  session: string,
  signal: AbortSignal,
): Promise<CachedAddresses | undefined> => {
  const requestedAtMs = Date.now();
  try {
    const response = await request(
      `http://${address}/v1/entries?key=${encodeURIComponent(session)}`,
      { signal: AbortSignal.any([signal, AbortSignal.timeout(ENTRIES_TIMEOUT_MS)]) },
    );
    const body: unknown = await response.body.json();
    const parsed = entriesSchema.safeParse(body);
    if (response.statusCode !== HTTP_OK || !parsed.success) return undefined;
    return {
      addresses: parsed.data.entries.map((entry) => entry.address),
      expiresAtMs: requestedAtMs + parsed.data.ttlMs,
    };
  } catch {
    return undefined;
  }
};

class CachingEntryDirectory implements EntryDirectory {
  private readonly cachedAddresses = new Map<string, CachedAddresses>();

  private lastKnownAddresses: readonly string[];

  constructor(private readonly seedAddresses: readonly string[]) {
    this.lastKnownAddresses = seedAddresses;
  }

  async getAddresses(session: string, signal: AbortSignal): Promise<readonly string[]> {
    const cached = this.cachedAddresses.get(session);
    if (cached && Date.now() < cached.expiresAtMs) return cached.addresses;
    for (const address of new Set([
      ...(cached?.addresses ?? []),
      ...this.lastKnownAddresses,
      ...this.seedAddresses,
    ])) {
      const fetched = await fetchAddresses(address, session, signal);
      if (fetched) return this.saveAddresses(session, fetched);
      if (signal.aborted) break;
    }
    return cached?.addresses ?? this.lastKnownAddresses;
  }

  private saveAddresses(session: string, fetched: CachedAddresses): readonly string[] {
    if (this.cachedAddresses.size >= MAX_CACHED_SESSIONS) this.cachedAddresses.clear();
    this.cachedAddresses.set(session, fetched);
    this.lastKnownAddresses = fetched.addresses;
    return fetched.addresses;
  }
}

/** Creates a directory that first queries the given addresses. */
export const createEntryDirectory = (seedAddresses: readonly string[]): EntryDirectory =>
  new CachingEntryDirectory(seedAddresses);
