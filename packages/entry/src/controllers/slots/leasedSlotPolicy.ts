import {
  createRefusal,
  getSlotGroup,
  SLOT_REPORT_INTERVAL_MS,
  UpstreamSlots,
  SlotPolicy,
} from '@goldcrestscale/core';
import type { BootId, SlotGrant, SlotHandle, SlotReport, SlotTarget } from '@goldcrestscale/core';
import { SLOT_RETRY_AFTER_MS, SLOT_RETRY_INTERVAL_MS } from './constants.js';

/** Sends a report to the granter of its upstream; undefined if there is no reply. */
export type SendSlotReport = (report: SlotReport) => Promise<SlotGrant | undefined>;

interface Waiter {
  readonly resolve: (handle: SlotHandle) => void;
}

interface UpstreamEntry {
  readonly slots: UpstreamSlots;
  readonly group: string;
  readonly bootId: BootId;
  readonly waiters: Waiter[];
}

const createNoSlotRefusal = (): Error =>
  createRefusal('No slot of the upstream came free in time.', {
    code: 'overloaded',
    status: 503,
    retryAfterMs: SLOT_RETRY_AFTER_MS,
  });

/** Uses slots from granters. If none replies, warm upstreams continue within a local limit. */
export class LeasedSlotPolicy extends SlotPolicy {
  private readonly slotsByUpstream = new Map<string, UpstreamEntry>();

  private readonly exchangesInProgress = new Set<UpstreamEntry>();

  private readonly scheduledRetries = new Set<UpstreamEntry>();

  /** Starts at the wall clock, so that it exceeds the numbers of previous processes on this VM. */
  private sequence = Date.now();

  constructor(private readonly sendReport: SendSlotReport) {
    super();
  }

  /** Periodically confirms the slots in use until the signal aborts. */
  start(signal: AbortSignal): void {
    const timer = setInterval(() => this.refreshSlots(), SLOT_REPORT_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
  }

  override tryAcquire(target: SlotTarget): SlotHandle | undefined {
    const entry = this.ensureUpstreamSlots(target);
    if (entry.waiters.length === 0 && entry.slots.tryTakeSlot()) return this.createHandle(entry);
    this.startExchange(entry);
    return undefined;
  }

  override acquire(target: SlotTarget, signal: AbortSignal): Promise<SlotHandle> {
    if (signal.aborted) return Promise.reject(createNoSlotRefusal());
    const handle = this.tryAcquire(target);
    return handle
      ? Promise.resolve(handle)
      : this.waitForSlot(this.ensureUpstreamSlots(target), signal);
  }

  /** Reports all slots held in a group; grants for earlier reports are ignored from now on. */
  listReports(group: string): readonly SlotReport[] {
    return [...this.slotsByUpstream.values()]
      .filter((entry) => entry.group === group)
      .map((entry) => entry.slots.buildReport());
  }

  /** Returns the state for the state dump. */
  dump(): unknown {
    return Object.fromEntries(
      [...this.slotsByUpstream].map(([key, entry]) => [key, entry.slots.dump()]),
    );
  }

  private refreshSlots(): void {
    this.slotsByUpstream.forEach((entry, key) => {
      this.serveWaiters(entry);
      if (entry.slots.needReport()) this.startExchange(entry);
      else if (entry.slots.isIdle()) this.slotsByUpstream.delete(key);
    });
  }

  private ensureUpstreamSlots(target: SlotTarget): UpstreamEntry {
    const key = `${target.upstreamId} ${target.bootId}`;
    const existing = this.slotsByUpstream.get(key);
    if (existing) {
      existing.slots.update(target);
      return existing;
    }
    const slots = new UpstreamSlots(target, () => this.nextSequence());
    const group = getSlotGroup(target.upstreamId);
    const entry: UpstreamEntry = { slots, group, bootId: target.bootId, waiters: [] };
    this.slotsByUpstream.set(key, entry);
    return entry;
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  private waitForSlot(entry: UpstreamEntry, signal: AbortSignal): Promise<SlotHandle> {
    return new Promise((resolve, reject) => {
      const settled = new AbortController();
      const waiter: Waiter = {
        resolve: (handle) => {
          settled.abort();
          resolve(handle);
        },
      };
      const fail = (): void => {
        entry.waiters.splice(entry.waiters.indexOf(waiter), 1);
        entry.slots.setWaiting(entry.waiters.length);
        reject(createNoSlotRefusal());
      };
      signal.addEventListener('abort', fail, { once: true, signal: settled.signal });
      entry.waiters.push(waiter);
      entry.slots.setWaiting(entry.waiters.length);
      this.startExchange(entry);
    });
  }

  private serveWaiters(entry: UpstreamEntry): void {
    while (entry.waiters.length > 0 && entry.slots.tryTakeSlot()) {
      entry.waiters.shift()?.resolve(this.createHandle(entry));
    }
    entry.slots.setWaiting(entry.waiters.length);
  }

  private createHandle(entry: UpstreamEntry): SlotHandle {
    const { bootId } = entry;
    let isReleased = false;
    return {
      bootId,
      begin: (connectionBootId) =>
        !isReleased && connectionBootId === bootId && entry.slots.canSend(),
      release: (isCompleted) => {
        if (isReleased) return;
        isReleased = true;
        entry.slots.releaseSlot(isCompleted);
        this.serveWaiters(entry);
        if (entry.slots.isCold) this.startExchange(entry);
      },
    };
  }

  private startExchange(entry: UpstreamEntry): void {
    if (this.exchangesInProgress.has(entry)) return;
    this.exchangesInProgress.add(entry);
    this.runExchange(entry)
      .catch(() => undefined)
      .finally(() => {
        this.exchangesInProgress.delete(entry);
        if (entry.waiters.length > 0) this.scheduleRetry(entry);
      });
  }

  private scheduleRetry(entry: UpstreamEntry): void {
    if (this.scheduledRetries.has(entry)) return;
    this.scheduledRetries.add(entry);
    setTimeout(() => {
      this.scheduledRetries.delete(entry);
      this.startExchange(entry);
    }, SLOT_RETRY_INTERVAL_MS);
  }

  private async runExchange(entry: UpstreamEntry): Promise<void> {
    const grant = await this.sendReport(entry.slots.buildReport());
    if (grant) entry.slots.acceptGrant(grant);
    this.serveWaiters(entry);
  }
}
