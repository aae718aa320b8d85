import { MIN_CONTACT_GAP_MS, MIN_FAILING_UPSTREAMS, UPSTREAM_SILENCE_MS } from './constants.js';

/** This VM lost its links to all upstreams, or has them back. */
export interface ReachChange {
  readonly isCutOff: boolean;
  /** Time without a byte of an upstream, in milliseconds. */
  readonly silentMs: number;
  /** Addresses that refused a connection or owe a response. */
  readonly failing: readonly string[];
}

/** Options of `UpstreamReach`. */
export interface UpstreamReachOptions {
  /** Number of upstreams that are known. */
  readonly countUpstreams: () => number;
  /** Whether this VM has read its input without a pause for a duration, in milliseconds. */
  readonly hasReadFor: (durationMs: number) => boolean;
  readonly onChange: (change: ReachChange) => void;
}

/** A request on a direct connection of which no byte has come back. */
interface ResponseWait {
  readonly address: string;
  readonly sinceMs: number;
}

/** Why this VM counts as cut off. */
interface Loss {
  /** Connections are refused until one opens; responses are silent until a byte comes. */
  readonly kind: 'refused' | 'silent';
  readonly sinceMs: number;
}

/**
 * Tells the loss of this VM's links from that of an upstream: only if upstreams fail alike, and no other
 * one shows that the links are there, these are lost.
 */
export class UpstreamReach {
  private contactAtMs = performance.now();

  /** Addresses that refused connections since one opened. */
  private readonly refusing = new Set<string>();

  /** Whether an upstream that had not failed before refused as well when it was asked. */
  private hasProbeFailed = false;

  private readonly waits = new Set<ResponseWait>();

  private loss: Loss | undefined;

  private tunnelAtMs = -Infinity;

  constructor(private readonly options: UpstreamReachOptions) {}

  /** Whether this VM opens no connection to an upstream by itself, or gets no byte of any. */
  get isCutOff(): boolean {
    if (!this.loss) this.checkLoss();
    return this.loss !== undefined;
  }

  /** Whether bytes still come on connections from before the loss. */
  get hasLiveConnections(): boolean {
    return this.hasContactSince(performance.now() - MIN_CONTACT_GAP_MS);
  }

  /** Whether so many upstreams refuse connections that another one should be asked. */
  get isSuspect(): boolean {
    return this.refusing.size >= this.neededUpstreams;
  }

  /** Whether another VM has meanwhile reached an upstream for this one, so that these are not at fault. */
  get isProvedCutOff(): boolean {
    return this.isCutOff && this.tunnelAtMs >= (this.loss?.sinceMs ?? Infinity);
  }

  /** Whether a byte of any upstream has come since a monotonic time. */
  hasContactSince(sinceMs: number): boolean {
    return this.contactAtMs >= sinceMs;
  }

  /** Whether an upstream refused this VM since one was reached. */
  hasFailed(address: string): boolean {
    return this.refusing.has(address);
  }

  /** Records that bytes of an upstream came on a direct connection. */
  recordContact(): void {
    const silentMs = performance.now() - this.contactAtMs;
    this.contactAtMs = performance.now();
    if (this.loss?.kind === 'silent') this.clearLoss(silentMs);
  }

  /** Records that a direct connection to an upstream was opened. */
  recordConnect(): void {
    this.refusing.clear();
    this.hasProbeFailed = false;
    if (this.loss?.kind === 'refused') this.clearLoss(performance.now() - this.contactAtMs);
  }

  /**
   * Records that no connection to an upstream could be opened.
   *
   * @param isProbe whether it was asked because others had failed
   */
  recordFailure(address: string, isProbe = false): void {
    this.refusing.add(address);
    if (isProbe) this.hasProbeFailed = true;
  }

  /** Records that another VM has opened a connection to an upstream for this one. */
  recordTunnel(): void {
    this.tunnelAtMs = performance.now();
  }

  /** Records that a response is awaited; the returned function ends that. */
  beginWait(address: string): () => void {
    const wait = { address, sinceMs: performance.now() };
    this.waits.add(wait);
    return () => this.waits.delete(wait);
  }

  private get neededUpstreams(): number {
    return Math.max(1, Math.min(MIN_FAILING_UPSTREAMS, this.options.countUpstreams()));
  }

  private checkLoss(): void {
    const silentMs = performance.now() - this.contactAtMs;
    const isConfirmed = this.hasProbeFailed || silentMs >= MIN_CONTACT_GAP_MS;
    if (this.isSuspect && isConfirmed) this.beginLoss('refused', this.refusing);
    else if (silentMs >= UPSTREAM_SILENCE_MS && this.options.hasReadFor(UPSTREAM_SILENCE_MS)) {
      const owing = this.listOwing();
      const failing = new Set([...owing, ...this.refusing]);
      if (owing.length > 0 && failing.size >= this.neededUpstreams) {
        this.beginLoss('silent', failing);
      }
    }
  }

  /** Lists the upstreams that owe a response for long. */
  private listOwing(): readonly string[] {
    const latestMs = performance.now() - UPSTREAM_SILENCE_MS;
    return [...this.waits].filter(({ sinceMs }) => sinceMs <= latestMs).map((wait) => wait.address);
  }

  private beginLoss(kind: Loss['kind'], failing: ReadonlySet<string>): void {
    this.loss = { kind, sinceMs: performance.now() };
    const silentMs = performance.now() - this.contactAtMs;
    this.options.onChange({ isCutOff: true, silentMs, failing: [...failing] });
  }

  private clearLoss(silentMs: number): void {
    this.loss = undefined;
    this.options.onChange({ isCutOff: false, silentMs, failing: [] });
  }
}
