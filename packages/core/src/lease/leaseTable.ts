import type { LogRecord } from '../log/index.js';
import { getNow } from './elapsedTime.js';
import type { Moment } from './elapsedTime.js';
import { isSameHolder, parseLeaseRecord } from './leaseRecord.js';
import type {
  LeaseClaimRecord,
  LeaseHolder,
  LeaseReleaseRecord,
  LeaseRenewRecord,
} from './leaseRecord.js';

/** Who owns a resource. */
export interface Ownership {
  readonly holder: LeaseHolder;
  /** Offset of the claim; grows with each owner, so it serves as a fencing number. */
  readonly epoch: number;
}

/** Newest renewal of one holder. */
export interface Renewal {
  readonly offset: number;
  readonly sequence: number;
  readonly durationMs: number;
  /** When this VM read it. */
  readonly readAt: Moment;
}

const toKey = (holder: LeaseHolder): string => `${holder.vmId} ${holder.bootId}`;

/**
 * Fold of the lease stream. Every VM that reads the same records comes to the same owners; no
 * clock takes part. A claim is refused when the owner has renewed after what the claimer saw.
 */
export class LeaseTable {
  private readonly owners = new Map<string, Ownership>();

  private readonly releasedEpochs = new Map<string, number>();

  private readonly renewals = new Map<string, Renewal>();

  /** Applies one record; what is not a lease record is skipped. */
  fold(record: LogRecord): void {
    const lease = parseLeaseRecord(record.value);
    if (lease?.type === 'renew') this.foldRenewal(lease, record.offset);
    if (lease?.type === 'claim') this.foldClaim(lease, record.offset);
    if (lease?.type === 'release') this.foldRelease(lease);
  }

  /** Forgets owners whose last renewal has been trimmed. */
  dropTrimmed(firstOffset: number): void {
    this.renewals.forEach((renewal, key) => {
      if (renewal.offset < firstOffset) this.renewals.delete(key);
    });
    this.owners.forEach((owner, resource) => {
      if (!this.getRenewal(owner.holder) && owner.epoch < firstOffset) this.owners.delete(resource);
    });
  }

  /** Gives the owner of a resource; its lease may have run out. */
  getOwner(resource: string): Ownership | undefined {
    return this.owners.get(resource);
  }

  /** Gives the newest renewal of a holder. */
  getRenewal(holder: LeaseHolder): Renewal | undefined {
    return this.renewals.get(toKey(holder));
  }

  /** Lists what a holder owns. */
  listOwned(holder: LeaseHolder): readonly { resource: string; epoch: number }[] {
    return [...this.owners]
      .filter(([, owner]) => isSameHolder(owner.holder, holder))
      .map(([resource, owner]) => ({ resource, epoch: owner.epoch }));
  }

  /** Gives the state for the dump. */
  dump(): unknown {
    return Object.fromEntries(
      [...this.owners].map(([resource, { holder, epoch }]) => [resource, { ...holder, epoch }]),
    );
  }

  private foldRenewal(record: LeaseRenewRecord, offset: number): void {
    const holder = { vmId: record.vmId, bootId: record.bootId };
    const { sequence, durationMs } = record;
    this.renewals.set(toKey(holder), { offset, sequence, durationMs, readAt: getNow() });
    record.owned
      .filter(({ resource }) => !this.owners.has(resource))
      // A renewal may have been under way while its sender released the resource.
      .filter(({ resource, epoch }) => epoch > (this.releasedEpochs.get(resource) ?? -1))
      .forEach(({ resource, epoch }) => this.owners.set(resource, { holder, epoch }));
  }

  private foldClaim(record: LeaseClaimRecord, offset: number): void {
    const holder = { vmId: record.vmId, bootId: record.bootId };
    const owner = this.owners.get(record.resource);
    const renewalOffset = owner ? (this.getRenewal(owner.holder)?.offset ?? -1) : -1;
    const isExpected =
      record.expectedEpoch === (owner?.epoch ?? -1) &&
      record.expectedRenewalOffset === renewalOffset;
    if (isExpected) this.owners.set(record.resource, { holder, epoch: offset });
  }

  private foldRelease(record: LeaseReleaseRecord): void {
    const owner = this.owners.get(record.resource);
    if (owner?.epoch !== record.epoch || !isSameHolder(owner.holder, record)) return;
    this.owners.delete(record.resource);
    this.releasedEpochs.set(record.resource, record.epoch);
  }
}
