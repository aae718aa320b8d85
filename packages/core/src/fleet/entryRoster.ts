import type { AvailabilityZoneId, BootId, VmId } from '../ids.js';
import type { VersionSighting } from '../streams/index.js';
import {
  ENTRY_SENDER_TIMEOUT_MS,
  ENTRY_HEARTBEAT_TIMEOUT_MS,
  LOADING_REPORT_TTL_MS,
  MAX_ENTRIES,
  ROSTER_PRUNE_INTERVAL_MS,
  ROSTER_SETTLE_MS,
  SILENCE_TIMEOUT_MS,
  SNAPSHOT_HEARTBEAT_AGE_MS,
  UNANNOUNCED_LOSS_TIMEOUT_MS,
} from './constants.js';

/** Heartbeat that an entry VM writes to the log. */
export interface EntryHeartbeat {
  readonly vmId: VmId;
  readonly bootId: BootId;
  readonly availabilityZone: AvailabilityZoneId;
  /** Address for callers, as HOST:PORT. */
  readonly address: string;
  /** Address for other entry VMs, as HOST:PORT. */
  readonly meshAddress: string;
  /** Key that authenticates its messages to other entry VMs. */
  readonly meshKey: string;
  /** Whether it is shutting down and accepts no new callers. */
  readonly leaving: boolean;
  /** Relative CPU and network capacity, without a unit; larger VMs are preferred as relays. */
  readonly size: number;
  /** Bandwidth of its link, in Mbit/s; undefined if its version does not tell. */
  readonly linkMbps?: number | undefined;
  /** Part of the directory's answers in which it wants to be, from 0.5 to 1; undefined for all. */
  readonly callerShare?: number | undefined;
  /** False while it can't serve callers; undefined if it can, or if its version does not tell. */
  readonly isReady?: boolean | undefined;
  /** Software versions of upstreams that it has seen; undefined if its version does not tell. */
  readonly versions?: readonly VersionSighting[] | undefined;
}

interface EntryRecord {
  readonly heartbeat: EntryHeartbeat;
  readonly lastSeenAtMs: number;
}

interface LoadingReport {
  readonly upstreamIds: readonly string[];
  readonly reportedAtMs: number;
}

/**
 * Tracks entry VMs by their heartbeats in the log. Time during log outages does not count towards
 * heartbeat timeouts, because heartbeats cannot arrive then.
 */
export class EntryRoster {
  private readonly entries = new Map<VmId, EntryRecord>();

  private readonly loadingReports = new Map<VmId, LoadingReport>();

  private prunedAtMs = -Infinity;

  private ignored = 0;

  private outageMs = 0;

  private logDownAtMs: number | undefined;

  /** When VMs were last heard of in the mesh, since the log is down. */
  private readonly heardAtMs = new Map<VmId, number>();

  /** VMs that were silent when the log came back, until their next heartbeats. */
  private silent: ReadonlySet<VmId> = new Set();

  private firstSnapshotAtMs: number | undefined;

  /**
   * Records the newest heartbeat of each VM that ever wrote one. It may have been written long ago, so
   * that it is no sign of life of a VM that is known.
   */
  recordSnapshot(heartbeats: readonly EntryHeartbeat[]): void {
    // At the start, all VMs may be alive; each of them writes again within one interval.
    const isFirst = this.firstSnapshotAtMs === undefined;
    this.firstSnapshotAtMs ??= performance.now();
    const assumedAgeMs = isFirst ? SNAPSHOT_HEARTBEAT_AGE_MS : ENTRY_HEARTBEAT_TIMEOUT_MS;
    const lastSeenAtMs = this.readOutageAdjustedMs() - assumedAgeMs;
    heartbeats.forEach((heartbeat) => {
      if (this.entries.has(heartbeat.vmId) || !this.hasRoom()) return;
      this.entries.set(heartbeat.vmId, { heartbeat, lastSeenAtMs });
    });
  }

  recordLogOutage(): void {
    if (this.logDownAtMs !== undefined) return;
    this.logDownAtMs = performance.now();
    this.heardAtMs.clear();
  }

  /** Records VMs that a relay of their group hears, which tells who lives while the log is down. */
  recordHeard(vmIds: readonly VmId[]): void {
    if (this.logDownAtMs === undefined) return;
    const nowMs = performance.now();
    vmIds.forEach((vmId) => this.heardAtMs.set(vmId, nowMs));
  }

  /**
   * Whether a VM was heard of while the log was down, and then not any more: it has ended, or started
   * again and can't read the log, or is cut off.
   */
  isSilent(vmId: VmId): boolean {
    if (this.logDownAtMs === undefined) return this.silent.has(vmId);
    const heardAtMs = this.heardAtMs.get(vmId);
    return heardAtMs !== undefined && performance.now() - heardAtMs >= SILENCE_TIMEOUT_MS;
  }

  recordLogRecovery(): void {
    if (this.logDownAtMs === undefined) return;
    this.silent = new Set([...this.heardAtMs.keys()].filter((vmId) => this.isSilent(vmId)));
    this.outageMs += performance.now() - this.logDownAtMs;
    this.logDownAtMs = undefined;
  }

  recordHeartbeat(heartbeat: EntryHeartbeat): void {
    if (!this.entries.has(heartbeat.vmId) && !this.hasRoom()) return;
    this.entries.set(heartbeat.vmId, { heartbeat, lastSeenAtMs: this.readOutageAdjustedMs() });
    if (this.silent.has(heartbeat.vmId))
      this.silent = new Set([...this.silent].filter((vmId) => vmId !== heartbeat.vmId));
  }

  /** Gives the number of heartbeats that were ignored since the last call, because the roster is full. */
  takeIgnored(): number {
    const { ignored } = this;
    this.ignored = 0;
    return ignored;
  }

  /** Records the engines that a VM has ordered to load weights. */
  recordLoading(vmId: VmId, upstreamIds: readonly string[]): void {
    if (upstreamIds.length > 0)
      this.loadingReports.set(vmId, { upstreamIds, reportedAtMs: performance.now() });
    else this.loadingReports.delete(vmId);
  }

  /** Returns the key that authenticates a VM's messages. */
  findMeshKey(vmId: VmId): string | undefined {
    return this.entries.get(vmId)?.heartbeat.meshKey;
  }

  /** Returns the last heartbeat of a VM, regardless of its age. */
  findHeartbeat(vmId: VmId): EntryHeartbeat | undefined {
    return this.entries.get(vmId)?.heartbeat;
  }

  /** Lists the VMs with recent heartbeats, including those shutting down. */
  listLive(): readonly EntryHeartbeat[] {
    return this.listSeenWithin(ENTRY_HEARTBEAT_TIMEOUT_MS);
  }

  /** Lists the VMs that accept new callers. */
  listServing(): readonly EntryHeartbeat[] {
    return this.listSeenWithin(ENTRY_HEARTBEAT_TIMEOUT_MS).filter(({ leaving }) => !leaving);
  }

  /** Lists the engines that are loading weights, as reported by the VMs that ordered it. */
  listLoading(): ReadonlySet<string> {
    const oldestMs = performance.now() - LOADING_REPORT_TTL_MS;
    const recent = [...this.loadingReports.values()].filter(
      ({ reportedAtMs }) => reportedAtMs > oldestMs,
    );
    return new Set(recent.flatMap(({ upstreamIds }) => upstreamIds));
  }

  /** Lists the VMs heard of that may still be sending requests. */
  listPossibleSenders(): readonly VmId[] {
    return this.listSeenWithin(ENTRY_SENDER_TIMEOUT_MS).map(({ vmId }) => vmId);
  }

  /** The same, for limits that must not be exceeded; undefined while this VM may not know of all. */
  findAllSenders(): readonly VmId[] | undefined {
    const senders = this.listPossibleSenders();
    // Its own heartbeat would be listed as well.
    return this.isSettled && senders.length > 0 ? senders : undefined;
  }

  /**
   * Counts the VMs that may serve callers, for limits that are split among all of them; undefined while
   * this VM may not know of all. Only a VM that said that it leaves is taken to be gone soon.
   */
  countAllSenders(): number | undefined {
    if (this.findAllSenders() === undefined) return undefined;
    const recent = new Set(this.listPossibleSenders());
    return this.listSeenWithin(UNANNOUNCED_LOSS_TIMEOUT_MS).filter(
      ({ vmId, leaving }) => !leaving || recent.has(vmId),
    ).length;
  }

  /** Makes room for a VM that is not known, at the cost of those that may not be sending any more. */
  private hasRoom(): boolean {
    if (this.entries.size < MAX_ENTRIES) return true;
    if (performance.now() - this.prunedAtMs >= ROSTER_PRUNE_INTERVAL_MS) {
      this.prunedAtMs = performance.now();
      const oldestMs = this.readOutageAdjustedMs() - ENTRY_SENDER_TIMEOUT_MS;
      this.entries.forEach(({ lastSeenAtMs }, vmId) => {
        if (lastSeenAtMs < oldestMs) this.entries.delete(vmId);
      });
    }
    const hasRoom = this.entries.size < MAX_ENTRIES;
    if (!hasRoom) this.ignored += 1;
    return hasRoom;
  }

  private get isSettled(): boolean {
    const snapshotAtMs = this.firstSnapshotAtMs ?? Infinity;
    return performance.now() - snapshotAtMs >= ROSTER_SETTLE_MS;
  }

  private listSeenWithin(timeoutMs: number): readonly EntryHeartbeat[] {
    const nowMs = this.readOutageAdjustedMs();
    return [...this.entries.values()]
      .filter(({ lastSeenAtMs }) => nowMs - lastSeenAtMs < timeoutMs)
      .map(({ heartbeat }) => heartbeat);
  }

  private readOutageAdjustedMs(): number {
    const nowMs = performance.now();
    return nowMs - this.outageMs - (this.logDownAtMs === undefined ? 0 : nowMs - this.logDownAtMs);
  }
}
