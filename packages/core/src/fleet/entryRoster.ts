import type { AvailabilityZoneId, BootId, VmId } from '../ids.js';
import { ENTRY_SHARE_MS, ENTRY_SILENCE_MS, LOADING_MEMORY_MS } from './constants.js';

/** What an entry VM tells the others through the log. */
export interface EntryHeartbeat {
  readonly vmId: VmId;
  readonly bootId: BootId;
  readonly availabilityZone: AvailabilityZoneId;
  /** HOST:PORT for callers. */
  readonly address: string;
  /** HOST:PORT for the other entry VMs. */
  readonly meshAddress: string;
  /** Proves its messages to the other entry VMs. */
  readonly meshKey: string;
  /** Whether it shuts down and takes no new callers. */
  readonly leaving: boolean;
  /** Processor time and network of the VM against others, in no unit; larger ones relay. */
  readonly size: number;
}

interface KnownEntry {
  readonly heartbeat: EntryHeartbeat;
  readonly seenAtMs: number;
}

interface KnownLoading {
  readonly loading: readonly string[];
  readonly atMs: number;
}

/**
 * Entry VMs by their heartbeats in the log. While the log does not answer, time stands still
 * here: silence then says nothing of a VM.
 */
export class EntryRoster {
  private readonly entries = new Map<VmId, KnownEntry>();

  private readonly loading = new Map<VmId, KnownLoading>();

  private outageMs = 0;

  private downSinceMs: number | undefined;

  noteLogDown(): void {
    this.downSinceMs ??= performance.now();
  }

  noteLogUp(): void {
    if (this.downSinceMs === undefined) return;
    this.outageMs += performance.now() - this.downSinceMs;
    this.downSinceMs = undefined;
  }

  noteHeartbeat(heartbeat: EntryHeartbeat): void {
    this.entries.set(heartbeat.vmId, { heartbeat, seenAtMs: this.readClock() });
  }

  /** Notes which engines a VM has ordered to load weights. */
  noteLoading(vmId: VmId, loading: readonly string[]): void {
    if (loading.length > 0) this.loading.set(vmId, { loading, atMs: performance.now() });
    else this.loading.delete(vmId);
  }

  /** Finds the key that proves a VM's messages. */
  findKey(vmId: VmId): string | undefined {
    return this.entries.get(vmId)?.heartbeat.meshKey;
  }

  /** Gives what a VM told last, however long ago. */
  find(vmId: VmId): EntryHeartbeat | undefined {
    return this.entries.get(vmId)?.heartbeat;
  }

  /** Lists the VMs that are heard of, those that shut down included. */
  listLive(): readonly EntryHeartbeat[] {
    return this.listSeenWithin(ENTRY_SILENCE_MS);
  }

  /** Lists the VMs that callers may use. */
  listServing(): readonly EntryHeartbeat[] {
    return this.listSeenWithin(ENTRY_SILENCE_MS).filter(({ leaving }) => !leaving);
  }

  /** Lists the engines that are being loaded, as their order giver tells. */
  listLoading(): ReadonlySet<string> {
    const oldestMs = performance.now() - LOADING_MEMORY_MS;
    const fresh = [...this.loading.values()].filter(({ atMs }) => atMs > oldestMs);
    return new Set(fresh.flatMap(({ loading }) => loading));
  }

  /** Lists every VM that may still be sending, for shares that must not be exceeded. */
  listSharing(): readonly VmId[] {
    return this.listSeenWithin(ENTRY_SHARE_MS).map(({ vmId }) => vmId);
  }

  private listSeenWithin(silenceMs: number): readonly EntryHeartbeat[] {
    const nowMs = this.readClock();
    return [...this.entries.values()]
      .filter(({ seenAtMs }) => nowMs - seenAtMs < silenceMs)
      .map(({ heartbeat }) => heartbeat);
  }

  private readClock(): number {
    const nowMs = performance.now();
    return nowMs - this.outageMs - (this.downSinceMs === undefined ? 0 : nowMs - this.downSinceMs);
  }
}
