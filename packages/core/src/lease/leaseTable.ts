import type { LogRecord } from '../log/index.js';
import { readClocks } from './clockReading.js';
import type { ClockReading } from './clockReading.js';
import { isSameHolder, parseLeaseRecord } from './leaseRecord.js';
import type {
  LeaseClaimRecord,
  LeaseHolder,
  LeaseReleaseRecord,
  LeaseRenewRecord,
} from './leaseRecord.js';

/** The owner of a resource. */
export interface Ownership {
  readonly holder: LeaseHolder;
  /** Offset of the claim; increases with each owner and serves as the fencing token. */
  readonly epoch: number;
}

/** The newest renewal of one holder. */
export interface Renewal {
  readonly offset: number;
  readonly sequence: number;
  readonly durationMs: number;
  /** When this VM read the renewal. */
  readonly readAt: ClockReading;
}

const formatHolderKey = (holder: LeaseHolder): string => `${holder.vmId} ${holder.bootId}`;

/**
 * State machine of the lease stream. Every VM that applies the same records has the same owners;
 * no clock is involved. A claim is rejected if the owner has renewed since the renewal that the
 * claimant had read.
 */
export class LeaseTable {
  private readonly owners = new Map<string, Ownership>();

  private readonly releasedEpochs = new Map<string, number>();

  private readonly renewals = new Map<string, Renewal>();

  /** Applies one record; records that are not lease records are skipped. */
  applyRecord(record: LogRecord): void {
    const lease = parseLeaseRecord(record.value);
    if (lease?.type === 'renew') this.applyRenewal(lease, record.offset);
    if (lease?.type === 'claim') this.applyClaim(lease, record.offset);
    if (lease?.type === 'release') this.applyRelease(lease);
  }

  /** Removes renewals that have been trimmed and owners that no retained record confirms. */
  dropTrimmed(firstOffset: number): void {
    this.renewals.forEach((renewal, key) => {
      if (renewal.offset < firstOffset) this.renewals.delete(key);
    });
    this.owners.forEach((owner, resource) => {
      if (!this.getRenewal(owner.holder) && owner.epoch < firstOffset) this.owners.delete(resource);
    });
  }

  /** Returns the owner of a resource; its lease may have expired. */
  getOwner(resource: string): Ownership | undefined {
    return this.owners.get(resource);
  }

  /** Returns the newest renewal of a holder. */
  getRenewal(holder: LeaseHolder): Renewal | undefined {
    return this.renewals.get(formatHolderKey(holder));
  }

  /** Lists the resources that a holder owns. */
  listOwned(holder: LeaseHolder): readonly { resource: string; epoch: number }[] {
    return [...this.owners]
      .filter(([, owner]) => isSameHolder(owner.holder, holder))
      .map(([resource, owner]) => ({ resource, epoch: owner.epoch }));
  }

  /** Returns the state for the diagnostic dump. */
  dump(): unknown {
    return Object.fromEntries(
      [...this.owners].map(([resource, { holder, epoch }]) => [resource, { ...holder, epoch }]),
    );
  }

  private applyRenewal(record: LeaseRenewRecord, offset: number): void {
    const holder = { vmId: record.vmId, bootId: record.bootId };
    const { sequence, durationMs } = record;
    this.renewals.set(formatHolderKey(holder), {
      offset,
      sequence,
      durationMs,
      readAt: readClocks(),
    });
    record.owned
      .filter(({ resource }) => !this.owners.has(resource))
      // A renewal may have been in flight while its sender released the resource.
      .filter(({ resource, epoch }) => epoch > (this.releasedEpochs.get(resource) ?? -1))
      .forEach(({ resource, epoch }) => this.owners.set(resource, { holder, epoch }));
  }

  private applyClaim(record: LeaseClaimRecord, offset: number): void {
    const holder = { vmId: record.vmId, bootId: record.bootId };
    const owner = this.owners.get(record.resource);
    const renewalOffset = owner ? (this.getRenewal(owner.holder)?.offset ?? -1) : -1;
    const isExpected =
      record.expectedEpoch === (owner?.epoch ?? -1) &&
      record.expectedRenewalOffset === renewalOffset;
    if (isExpected) this.owners.set(record.resource, { holder, epoch: offset });
  }

  private applyRelease(record: LeaseReleaseRecord): void {
    const owner = this.owners.get(record.resource);
    if (owner?.epoch !== record.epoch || !isSameHolder(owner.holder, record)) return;
    this.owners.delete(record.resource);
    this.releasedEpochs.set(record.resource, record.epoch);
  }
}
