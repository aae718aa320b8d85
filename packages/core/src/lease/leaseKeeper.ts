import { toLogOffset } from '../ids.js';
import { LogError } from '../log/index.js';
import type { LogPage, LogStream } from '../log/index.js';
import { LEASE_DURATION_MS, LEASE_READ_WAIT_MS, LEASE_RETRY_MS } from './constants.js';
import { computeLongestElapsed, computeShortestElapsed, getNow } from './elapsedTime.js';
import type { Moment } from './elapsedTime.js';
import { isSameHolder } from './leaseRecord.js';
import type { LeaseHolder, LeaseRecord } from './leaseRecord.js';
import { LeaseTable } from './leaseTable.js';

/** A resource that this VM owned at the moment of the check. */
export interface HeldLease {
  /** Fencing number: larger than that of every earlier owner. */
  readonly epoch: number;
  /** When this VM learnt that it is the owner. */
  readonly heldSince: Moment;
}

const sleep = (delayMs: number, signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    const ended = new AbortController();
    const finish = (): void => {
      ended.abort();
      resolve();
    };
    const timer = setTimeout(finish, delayMs);
    ended.signal.addEventListener('abort', () => clearTimeout(timer), { once: true });
    signal.addEventListener('abort', finish, { signal: ended.signal });
  });

/**
 * Holds leases of one VM through a log stream. A lease counts for this VM from before its renewal
 * was sent; for others from after they have read it.
 */
export class LeaseKeeper {
  readonly table = new LeaseTable();

  private readonly sentRenewals = new Map<number, Moment>();

  private readonly heldSince = new Map<number, Moment>();

  private readonly releasing = new Set<string>();

  private sequence = 0;

  private nextOffset = toLogOffset(0);

  private isCaughtUp = false;

  constructor(
    private readonly stream: LogStream,
    private readonly self: LeaseHolder,
  ) {}

  /** Follows the lease stream until the signal aborts. */
  async follow(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await this.readOnce(signal).catch((error: unknown) => this.handleReadFailure(error, signal));
    }
  }

  /** Tells whether the whole stream has been read once. */
  get isReady(): boolean {
    return this.isCaughtUp;
  }

  /** Renews everything that this VM holds. */
  async renew(signal: AbortSignal): Promise<void> {
    this.sequence += 1;
    const { sequence } = this;
    this.sentRenewals.set(sequence, getNow());
    const owned = [...this.table.listOwned(this.self)];
    const record: LeaseRecord = {
      type: 'renew',
      ...this.self,
      sequence,
      durationMs: LEASE_DURATION_MS,
      owned,
    };
    await this.stream.append([record], signal);
  }

  /** Claims those resources whose owners' leases have surely run out. */
  async claim(resources: readonly string[], signal: AbortSignal): Promise<void> {
    if (!this.isCaughtUp || !this.isRenewed()) return;
    const records = resources
      .filter((resource) => this.canClaim(resource))
      .map((resource) => this.buildClaim(resource));
    if (records.length > 0) await this.stream.append(records, signal);
  }

  /** Gives resources back; they are not held any more from the call on. */
  async release(resources: readonly string[], signal: AbortSignal): Promise<void> {
    const owned = this.table
      .listOwned(this.self)
      .filter(({ resource }) => resources.includes(resource));
    if (owned.length === 0) return;
    owned.forEach(({ resource }) => this.releasing.add(resource));
    const records: LeaseRecord[] = owned.map((one) => ({ type: 'release', ...this.self, ...one }));
    await this.stream.append(records, signal);
  }

  /**
   * Tells whether this VM holds a resource at this moment. Call it after the last await before
   * the act that needs the lease.
   */
  findHeld(resource: string): HeldLease | undefined {
    const owner = this.table.getOwner(resource);
    const isOwn = owner && isSameHolder(owner.holder, this.self);
    if (!isOwn || this.releasing.has(resource) || !this.isRenewed()) return undefined;
    return { epoch: owner.epoch, heldSince: this.heldSince.get(owner.epoch) ?? getNow() };
  }

  /** Gives the time for which this VM's lease surely holds on, in milliseconds. */
  computeRemaining(): number {
    const renewal = this.table.getRenewal(this.self);
    const sentAt = renewal && this.sentRenewals.get(renewal.sequence);
    return sentAt ? LEASE_DURATION_MS - computeLongestElapsed(sentAt) : 0;
  }

  private isRenewed(): boolean {
    return this.computeRemaining() > 0;
  }

  private canClaim(resource: string): boolean {
    const owner = this.table.getOwner(resource);
    if (!owner) return true;
    if (isSameHolder(owner.holder, this.self)) return false;
    const renewal = this.table.getRenewal(owner.holder);
    if (!renewal) return false;
    return computeShortestElapsed(renewal.readAt) > renewal.durationMs;
  }

  private buildClaim(resource: string): LeaseRecord {
    const owner = this.table.getOwner(resource);
    const renewal = owner && this.table.getRenewal(owner.holder);
    return {
      type: 'claim',
      ...this.self,
      resource,
      expectedEpoch: owner?.epoch ?? -1,
      expectedRenewalOffset: renewal?.offset ?? -1,
    };
  }

  private async readOnce(signal: AbortSignal): Promise<void> {
    const waitMs = this.isCaughtUp ? LEASE_READ_WAIT_MS : 0;
    const page = await this.stream.read(this.nextOffset, { waitMs, signal });
    if (signal.aborted) return;
    this.foldPage(page);
  }

  private foldPage(page: LogPage): void {
    page.records.forEach((record) => this.table.fold(record));
    const last = page.records[page.records.length - 1];
    if (last) this.nextOffset = toLogOffset(last.offset + 1);
    this.table.dropTrimmed(page.firstOffset);
    this.releasing.forEach((resource) => {
      const owner = this.table.getOwner(resource);
      if (!owner || !isSameHolder(owner.holder, this.self)) this.releasing.delete(resource);
    });
    if (this.nextOffset >= page.headOffset) this.isCaughtUp = true;
    this.table
      .listOwned(this.self)
      .filter(({ epoch }) => !this.heldSince.has(epoch))
      .forEach(({ epoch }) => this.heldSince.set(epoch, getNow()));
    const acknowledged = this.table.getRenewal(this.self)?.sequence ?? 0;
    this.sentRenewals.forEach((_moment, sequence) => {
      if (sequence < acknowledged) this.sentRenewals.delete(sequence);
    });
  }

  private async handleReadFailure(error: unknown, signal: AbortSignal): Promise<void> {
    if (error instanceof LogError && error.failure === 'trimmed' && error.firstOffset) {
      this.nextOffset = error.firstOffset;
    }
    await sleep(LEASE_RETRY_MS, signal);
  }
}
