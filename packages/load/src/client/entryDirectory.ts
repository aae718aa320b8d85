import { request } from 'undici';
import { z } from 'zod';
import { ENTRIES_TIMEOUT_MS } from '../constants.js';

const HTTP_OK = 200;
const MAX_KEPT_ANSWERS = 10_000;

const entriesSchema = z.object({
  entries: z.array(z.object({ address: z.string(), availabilityZone: z.string() })).min(1),
  ttlMs: z.number().nonnegative(),
});

interface KeptAnswer {
  readonly addresses: readonly string[];
  readonly untilMs: number;
}

/** Asks the system which entry VMs to use and keeps each answer for its time. */
export interface EntryDirectory {
  /** Gives the addresses for a session, best first; old ones where nobody answers. */
  getAddresses(session: string, signal: AbortSignal): Promise<readonly string[]>;
}

const fetchAnswer = async (
  address: string,
  session: string,
  signal: AbortSignal,
): Promise<KeptAnswer | undefined> => {
  const askedAtMs = Date.now();
  try {
    const answer = await request(
      `http://${address}/v1/entries?key=${encodeURIComponent(session)}`,
      { signal: AbortSignal.any([signal, AbortSignal.timeout(ENTRIES_TIMEOUT_MS)]) },
    );
    const body: unknown = await answer.body.json();
    const parsed = entriesSchema.safeParse(body);
    if (answer.statusCode !== HTTP_OK || !parsed.success) return undefined;
    return {
      addresses: parsed.data.entries.map((entry) => entry.address),
      untilMs: askedAtMs + parsed.data.ttlMs,
    };
  } catch {
    return undefined;
  }
};

class KeepingEntryDirectory implements EntryDirectory {
  private readonly answers = new Map<string, KeptAnswer>();

  private known: readonly string[];

  constructor(private readonly seeds: readonly string[]) {
    this.known = seeds;
  }

  async getAddresses(session: string, signal: AbortSignal): Promise<readonly string[]> {
    const kept = this.answers.get(session);
    if (kept && Date.now() < kept.untilMs) return kept.addresses;
    for (const address of new Set([...(kept?.addresses ?? []), ...this.known, ...this.seeds])) {
      const answer = await fetchAnswer(address, session, signal);
      if (answer) return this.saveAnswer(session, answer);
      if (signal.aborted) break;
    }
    return kept?.addresses ?? this.known;
  }

  private saveAnswer(session: string, answer: KeptAnswer): readonly string[] {
    if (this.answers.size >= MAX_KEPT_ANSWERS) this.answers.clear();
    this.answers.set(session, answer);
    this.known = answer.addresses;
    return answer.addresses;
  }
}

/** Creates a directory that asks these addresses first. */
export const createEntryDirectory = (seeds: readonly string[]): EntryDirectory =>
  new KeepingEntryDirectory(seeds);
