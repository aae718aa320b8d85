import type { ServiceName, SoftwareVersion } from '../ids.js';
import { MAX_VERSIONS, STREAM_LIFE_MS, VERSION_AGE_STEP_MS } from './constants.js';

/** A software version of a service. */
export interface RegisteredVersion {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
}

/** A software version, and for how long no VM has seen an upstream of it. */
export interface VersionSighting extends RegisteredVersion {
  readonly ageMs: number;
}

type SeenAt = Map<ServiceName, Map<SoftwareVersion, number>>;

const countVersions = (seen: SeenAt): number => {
  let count = 0;
  seen.forEach(({ size }) => {
    count += size;
  });
  return count;
};

const recordSeen = (seen: SeenAt, { service, version, ageMs }: VersionSighting): void => {
  const versions = seen.get(service) ?? new Map<SoftwareVersion, number>();
  if (!versions.has(version) && countVersions(seen) >= MAX_VERSIONS) return;
  const seenAtMs = performance.now() - ageMs;
  versions.set(version, Math.max(seenAtMs, versions.get(version) ?? -Infinity));
  seen.set(service, versions);
};

const listRecent = (seen: SeenAt, service: ServiceName): readonly SoftwareVersion[] => {
  const oldestMs = performance.now() - STREAM_LIFE_MS;
  return [...(seen.get(service) ?? [])].flatMap(([version, seenAtMs]) =>
    seenAtMs > oldestMs ? [version] : [],
  );
};

/** Drops versions whose streams can't be taken up any more. */
const dropExpired = (seen: SeenAt): void => {
  const oldestMs = performance.now() - STREAM_LIFE_MS;
  seen.forEach((versions, service) => {
    versions.forEach((seenAtMs, version) => {
      if (seenAtMs <= oldestMs) versions.delete(version);
    });
    if (versions.size === 0) seen.delete(service);
  });
};

/**
 * Knows which software versions of a service may have begun streams that callers can still take up.
 * Reports of other VMs count, because those may have used versions that this VM has never seen.
 */
export class VersionsInUse {
  private readonly own: SeenAt = new Map();

  /** What the registry lists, as far as this VM has read. */
  private listed: readonly RegisteredVersion[] = [];

  private readonly reported: SeenAt = new Map();

  private hasReports = false;

  /**
   * Records that the registry listed an upstream of a version; it may be gone again.
   *
   * @returns whether this VM has not reported that version yet
   */
  recordRegistered(service: ServiceName, version: SoftwareVersion): boolean {
    this.recordListed();
    const isNew = !listRecent(this.own, service).includes(version);
    recordSeen(this.own, { service, version, ageMs: 0 });
    return isNew;
  }

  /** Updates what the registry lists; that counts until a later list lacks it, however old it is. */
  updateListed(listed: readonly RegisteredVersion[]): void {
    this.recordListed();
    const distinct = new Map(listed.map((one) => [`${one.service} ${one.version}`, one]));
    this.listed = [...distinct.values()];
  }

  /**
   * Records the last reports of all VMs, which this VM read when it started. They are passed on with
   * its own, because its first report replaces the one from before its start.
   */
  recordFirstReports(sightings: readonly VersionSighting[]): void {
    sightings.forEach((sighting) => recordSeen(this.own, sighting));
    this.hasReports = true;
  }

  /** Records a report of another VM. */
  recordReport(sightings: readonly VersionSighting[]): void {
    sightings.forEach((sighting) => recordSeen(this.reported, sighting));
  }

  /** Lists what this VM reports. */
  listOwn(): readonly VersionSighting[] {
    this.recordListed();
    const nowMs = performance.now();
    dropExpired(this.own);
    dropExpired(this.reported);
    return [...this.own].flatMap(([service, versions]) =>
      [...versions].map(([version, seenAtMs]) => {
        const ageMs = nowMs - seenAtMs;
        return { service, version, ageMs: ageMs - (ageMs % VERSION_AGE_STEP_MS) };
      }),
    );
  }

  /** Whether streams of several versions of a service may be taken up. */
  hasSeveral(service: ServiceName): boolean {
    return this.listAll(service).size > 1;
  }

  /** Returns the version that began every stream of a service; undefined if there may be several. */
  findOnly(service: ServiceName): SoftwareVersion | undefined {
    const versions = this.listAll(service);
    return this.hasReports && versions.size === 1 ? [...versions][0] : undefined;
  }

  private listAll(service: ServiceName): ReadonlySet<SoftwareVersion> {
    this.recordListed();
    return new Set([...listRecent(this.own, service), ...listRecent(this.reported, service)]);
  }

  /** A version counts as seen for as long as it is listed. */
  private recordListed(): void {
    this.listed.forEach((one) => recordSeen(this.own, { ...one, ageMs: 0 }));
  }
}
