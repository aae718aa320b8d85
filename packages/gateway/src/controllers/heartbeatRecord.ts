import { MIN_CALLER_SHARE, isSocketAddress } from '@goldcrestscale/core';
import type { EntryHeartbeat, QuarantineRow, VersionSighting } from '@goldcrestscale/core';
import { decodeQuarantineRow, encodeQuarantineRow } from '../mesh/quarantineRow.js';
import type { KeyedRecord } from '../ports/index.js';

/** Maximum size of a heartbeat, in bytes. */
const MAX_HEARTBEAT_BYTES = 256 * 1024;

/** Maximum size of a heartbeat that is compared with the next one of its VM, in bytes. */
const MAX_KEPT_BYTES = 8 * 1024;

/** Maximum number of heartbeats that are kept for that. */
const MAX_KEPT_HEARTBEATS = 4_000;

/** A heartbeat, and what a VM reports with it to those that it can't reach in the mesh. */
interface HeartbeatContent extends EntryHeartbeat {
  /** Refused patterns; absent if there are none. */
  readonly quarantine?: unknown;
}

/** Encodes a heartbeat as a record with the VM's id as the key. */
export const encodeHeartbeat = (
  heartbeat: EntryHeartbeat,
  refused: readonly QuarantineRow[],
): KeyedRecord => {
  const quarantine = refused.length > 0 ? { quarantine: refused.map(encodeQuarantineRow) } : {};
  const content: HeartbeatContent = { ...heartbeat, ...quarantine };
  return { key: heartbeat.vmId, value: Buffer.from(JSON.stringify(content)) };
};

/** Returns the refused patterns that came with a decoded heartbeat. */
export const readRefusedPatterns = ({ quarantine }: HeartbeatContent): readonly QuarantineRow[] =>
  Array.isArray(quarantine) ? quarantine.flatMap(decodeQuarantineRow) : [];

const isSighting = (value: unknown): value is VersionSighting => {
  if (typeof value !== 'object' || value === null) return false;
  const { service, version, ageMs } = value as Partial<Record<keyof VersionSighting, unknown>>;
  return (
    typeof service === 'string' &&
    typeof version === 'string' &&
    typeof ageMs === 'number' &&
    ageMs >= 0
  );
};

const isCallerShare = (value: unknown): boolean =>
  value === undefined || (typeof value === 'number' && value >= MIN_CALLER_SHARE && value <= 1);

const isHeartbeat = (value: unknown): value is EntryHeartbeat => {
  if (typeof value !== 'object' || value === null) return false;
  const fields = value as Partial<Record<keyof EntryHeartbeat, unknown>>;
  return (
    typeof fields.vmId === 'string' &&
    typeof fields.bootId === 'string' &&
    typeof fields.availabilityZone === 'string' &&
    typeof fields.address === 'string' &&
    isSocketAddress(fields.address) &&
    typeof fields.meshAddress === 'string' &&
    isSocketAddress(fields.meshAddress) &&
    typeof fields.meshKey === 'string' &&
    typeof fields.leaving === 'boolean' &&
    typeof fields.size === 'number' &&
    fields.size >= 0 &&
    // VMs of an earlier version don't tell the following fields.
    (fields.versions === undefined ||
      (Array.isArray(fields.versions) && fields.versions.every(isSighting))) &&
    (fields.isReady === undefined || typeof fields.isReady === 'boolean') &&
    isCallerShare(fields.callerShare) &&
    (fields.linkMbps === undefined || (typeof fields.linkMbps === 'number' && fields.linkMbps > 0))
  );
};

const decodeHeartbeat = ({ value }: KeyedRecord): EntryHeartbeat | undefined => {
  if (!value || value.length > MAX_HEARTBEAT_BYTES) return undefined;
  try {
    const parsed: unknown = JSON.parse(value.toString('utf8'));
    return isHeartbeat(parsed) ? parsed : undefined;
  } catch {
    // The caller logs invalid records.
    return undefined;
  }
};

interface DecodedHeartbeat {
  readonly value: Buffer;
  readonly heartbeat: EntryHeartbeat;
}

/** Decodes heartbeats; an unchanged record gives the same object, so that changes are cheap to find. */
export class HeartbeatDecoder {
  private readonly lastByKey = new Map<string, DecodedHeartbeat>();

  /** @returns undefined if the record is not a valid heartbeat of this version */
  decode(record: KeyedRecord): EntryHeartbeat | undefined {
    const { key, value } = record;
    const last = this.lastByKey.get(key);
    if (value && last?.value.equals(value)) return last.heartbeat;
    const heartbeat = decodeHeartbeat(record);
    this.lastByKey.delete(key);
    if (value && heartbeat && value.length <= MAX_KEPT_BYTES) {
      this.lastByKey.set(key, { value, heartbeat });
      if (this.lastByKey.size > MAX_KEPT_HEARTBEATS)
        this.lastByKey.delete(this.lastByKey.keys().next().value!);
    }
    return heartbeat;
  }
}
