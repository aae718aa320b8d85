import { requestJson } from '../httpJson.js';

const FAILED_ENTRY_REST_MS = 1_000;

interface EntriesAnswer {
  readonly entries: readonly { readonly address: string }[];
  readonly ttlMs: number;
}

/** Keeps the answer of `/v1/entries` for as long as it may be kept, as callers do. */
export class EntryDirectory {
  private urls: readonly string[];

  private expiresAtMs = 0;

  private readonly failedAtMs = new Map<string, number>();

  private pending: Promise<void> | undefined;

  constructor(
    /** Addresses that the caller knows from its own settings. */
    private readonly knownUrls: readonly string[],
    /** Whether it uses the known addresses alone and never asks. */
    isFixed = false,
  ) {
    this.urls = knownUrls;
    if (isFixed) this.expiresAtMs = Number.POSITIVE_INFINITY;
  }

  /** Gives the entry VM to use next; `turn` spreads callers over them. */
  async choose(turn: number): Promise<string> {
    if (Date.now() >= this.expiresAtMs) {
      this.pending ??= this.refresh().finally(() => {
        this.pending = undefined;
      });
      await this.pending;
    }
    const restsFrom = Date.now() - FAILED_ENTRY_REST_MS;
    const usable = this.urls.filter((url) => (this.failedAtMs.get(url) ?? 0) <= restsFrom);
    const candidates = usable.length > 0 ? usable : this.knownUrls;
    return candidates[turn % candidates.length] ?? '';
  }

  /** Notes that an entry VM did not answer. */
  markFailed(url: string): void {
    this.failedAtMs.set(url, Date.now());
  }

  private async refresh(): Promise<void> {
    const askedAtMs = Date.now();
    for (const url of [...this.urls, ...this.knownUrls]) {
      try {
        const answer = await requestJson<EntriesAnswer>(`${url}/v1/entries`);
        if (answer.entries.length > 0) {
          this.urls = answer.entries.map((entry) => `http://${entry.address}`);
          this.expiresAtMs = askedAtMs + answer.ttlMs;
          return;
        }
      } catch {
        this.markFailed(url);
      }
    }
  }
}
