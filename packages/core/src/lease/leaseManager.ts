import { toLogOffset } from '../ids.js';
import { LogError } from '../log/index.js';
import type { LogPage, LogStream } from '../log/index.js';
import { LEASE_DURATION_MS, LEASE_LONG_POLL_MS, LEASE_READ_RETRY_MS } from './constants.js';
import { computeMaxElapsedMs, computeMinElapsedMs, readClocks } from './clockReading.js';
import type { ClockReading } from './clockReading.js';
import { isSameHolder } from './leaseRecord.js';
import type { LeaseHolder, LeaseRecord } from './leaseRecord.js';
import { LeaseTable } from './leaseTable.js';

/** A lease that this VM held at the time of the check. */
export interface HeldLease {
  /** Fencing token; larger than that of every earlier owner. */
  readonly epoch: number;
  /** When this VM observed that it is the owner. */
  readonly heldSince: ClockReading;
}

const sleep = (delayMs: number, signal: AbortSignal): Promise<void> =>
  new Promise((resolve) => {
    const finished = new AbortController();
    const finish = (): void => {
      finished.abort();
      resolve();
    };
    const timer = setTimeout(finish, delayMs);
    finished.signal.addEventListener('abort', () => clearTimeout(timer), { once: true });
    signal.addEventListener('abort', finish, { signal: finished.signal });
  });

/**
 * Manages the leases of one VM through a log stream. The holder counts the lease duration from
 * before it sent the renewal; other VMs count it from after they have read the renewal.
 */
export class LeaseManager {
  readonly table = new LeaseTable();

  private readonly renewalSentAt = new Map<number, ClockReading>();

  private readonly heldSinceByEpoch = new Map<number, ClockReading>();

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
      await this.readPage(signal).catch((error: unknown) => this.handleReadFailure(error, signal));
    }
  }

  /** Whether the stream has been read up to its head once. */
  get isReady(): boolean {
    return this.isCaughtUp;
  }

  /** Renews all leases of this VM. */
  async renew(signal: AbortSignal): Promise<void> {
    this.sequence += 1;
    const { sequence } = this;
    this.renewalSentAt.set(sequence, readClocks());
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

  /** Claims the resources without an owner and those whose owner's lease has certainly expired. */
  async claim(resources: readonly string[], signal: AbortSignal): Promise<void> {
    if (!this.isCaughtUp || !this.hasValidLease()) return;
    const records = resources
      .filter((resource) => this.canClaim(resource))
      .map((resource) => this.buildClaim(resource));
    if (records.length > 0) await this.stream.append(records, signal);
  }

  /** Releases resources; they count as not held from the start of the call. */
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
   * Returns this VM's lease on a resource if it is valid now. Call it after the last await before
   * the operation that requires the lease.
   */
  findHeldLease(resource: string): HeldLease | undefined {
    const owner = this.table.getOwner(resource);
    const isOwn = owner && isSameHolder(owner.holder, this.self);
    if (!isOwn || this.releasing.has(resource) || !this.hasValidLease()) return undefined;
    return {
      epoch: owner.epoch,
      heldSince: this.heldSinceByEpoch.get(owner.epoch) ?? readClocks(),
    };
  }

  /** Computes a lower bound of the remaining validity of this VM's leases, in milliseconds. */
  computeRemainingMs(): number {
    const renewal = this.table.getRenewal(this.self);
    const sentAt = renewal && this.renewalSentAt.get(renewal.sequence);
    return sentAt ? LEASE_DURATION_MS - computeMaxElapsedMs(sentAt) : 0;
  }

  private hasValidLease(): boolean {
    return this.computeRemainingMs() > 0;
  }

  private canClaim(resource: string): boolean {
    const owner = this.table.getOwner(resource);
    if (!owner) return true;
    if (isSameHolder(owner.holder, this.self)) return false;
    const renewal = this.table.getRenewal(owner.holder);
    if (!renewal) return false;
    return computeMinElapsedMs(renewal.readAt) > renewal.durationMs;
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

  private async readPage(signal: AbortSignal): Promise<void> {
    const waitMs = this.isCaughtUp ? LEASE_LONG_POLL_MS : 0;
    const page = await this.stream.read(this.nextOffset, { waitMs, signal });
    if (signal.aborted) return;
    this.applyPage(page);
  }

  private applyPage(page: LogPage): void {
    page.records.forEach((record) => this.table.applyRecord(record));
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
      .filter(({ epoch }) => !this.heldSinceByEpoch.has(epoch))
      .forEach(({ epoch }) => this.heldSinceByEpoch.set(epoch, readClocks()));
    const acknowledgedSequence = this.table.getRenewal(this.self)?.sequence ?? 0;
    this.renewalSentAt.forEach((_sentAt, sequence) => {
      if (sequence < acknowledgedSequence) this.renewalSentAt.delete(sequence);
    });
  }

  private async handleReadFailure(error: unknown, signal: AbortSignal): Promise<void> {
    if (error instanceof LogError && error.failure === 'trimmed' && error.firstOffset) {
      this.nextOffset = error.firstOffset;
    }
    await sleep(LEASE_READ_RETRY_MS, signal);
  }
}
