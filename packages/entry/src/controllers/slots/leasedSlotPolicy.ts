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
  readonly account: UpstreamSlots;
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
    const slots = this.ensureUpstreamSlots(target);
    if (slots.waiters.length === 0 && slots.account.tryTakeSlot()) return this.createHandle(slots);
    this.startExchange(slots);
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
      .filter((slots) => slots.group === group)
      .map((slots) => slots.account.buildReport());
  }

  /** Returns the state for the state dump. */
  dump(): unknown {
    return Object.fromEntries(
      [...this.slotsByUpstream].map(([key, slots]) => [key, slots.account.dump()]),
    );
  }

  private refreshSlots(): void {
    this.slotsByUpstream.forEach((slots, key) => {
      this.serveWaiters(slots);
      if (slots.account.needReport()) this.startExchange(slots);
      else if (slots.account.isIdle()) this.slotsByUpstream.delete(key);
    });
  }

  private ensureUpstreamSlots(target: SlotTarget): UpstreamEntry {
    const key = `${target.upstreamId} ${target.bootId}`;
    const existing = this.slotsByUpstream.get(key);
    if (existing) {
      existing.account.update(target);
      return existing;
    }
    const account = new UpstreamSlots(target, () => this.nextSequence());
    const group = getSlotGroup(target.upstreamId);
    const slots: UpstreamEntry = { account, group, bootId: target.bootId, waiters: [] };
    this.slotsByUpstream.set(key, slots);
    return slots;
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  private waitForSlot(slots: UpstreamEntry, signal: AbortSignal): Promise<SlotHandle> {
    return new Promise((resolve, reject) => {
      const settled = new AbortController();
      const waiter: Waiter = {
        resolve: (handle) => {
          settled.abort();
          resolve(handle);
        },
      };
      const fail = (): void => {
        slots.waiters.splice(slots.waiters.indexOf(waiter), 1);
        slots.account.setWaiting(slots.waiters.length);
        reject(createNoSlotRefusal());
      };
      signal.addEventListener('abort', fail, { once: true, signal: settled.signal });
      slots.waiters.push(waiter);
      slots.account.setWaiting(slots.waiters.length);
      this.startExchange(slots);
    });
  }

  private serveWaiters(slots: UpstreamEntry): void {
    while (slots.waiters.length > 0 && slots.account.tryTakeSlot()) {
      slots.waiters.shift()?.resolve(this.createHandle(slots));
    }
    slots.account.setWaiting(slots.waiters.length);
  }

  private createHandle(slots: UpstreamEntry): SlotHandle {
    const { bootId } = slots;
    let isReleased = false;
    return {
      bootId,
      begin: (connectionBootId) =>
        !isReleased && connectionBootId === bootId && slots.account.canSend(),
      release: (isCompleted) => {
        if (isReleased) return;
        isReleased = true;
        slots.account.releaseSlot(isCompleted);
        this.serveWaiters(slots);
        if (slots.account.isCold) this.startExchange(slots);
      },
    };
  }

  private startExchange(slots: UpstreamEntry): void {
    if (this.exchangesInProgress.has(slots)) return;
    this.exchangesInProgress.add(slots);
    this.runExchange(slots)
      .catch(() => undefined)
      .finally(() => {
        this.exchangesInProgress.delete(slots);
        if (slots.waiters.length > 0) this.scheduleRetry(slots);
      });
  }

  private scheduleRetry(slots: UpstreamEntry): void {
    if (this.scheduledRetries.has(slots)) return;
    this.scheduledRetries.add(slots);
    setTimeout(() => {
      this.scheduledRetries.delete(slots);
      this.startExchange(slots);
    }, SLOT_RETRY_INTERVAL_MS);
  }

  private async runExchange(slots: UpstreamEntry): Promise<void> {
    const grant = await this.sendReport(slots.account.buildReport());
    if (grant) slots.account.acceptGrant(grant);
    this.serveWaiters(slots);
  }
}
