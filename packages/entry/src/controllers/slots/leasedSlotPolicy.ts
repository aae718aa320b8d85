import {
  createRefusal,
  getSlotGroup,
  SLOT_EXCHANGE_INTERVAL_MS,
  SlotAccount,
  SlotPolicy,
} from '@goldcrestscale/core';
import type { BootId, SlotGrant, SlotHandle, SlotReport, SlotTarget } from '@goldcrestscale/core';
import { SLOT_RETRY_AFTER_MS, SLOT_RETRY_MS } from './constants.js';

/** Sends a report to the granter of its upstream; undefined where there is no answer. */
export type SendReport = (report: SlotReport) => Promise<SlotGrant | undefined>;

interface Waiter {
  readonly resolve: (handle: SlotHandle) => void;
}

interface Entry {
  readonly account: SlotAccount;
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

/** Uses slots that granters give; warm upstreams go on within a local limit when none answers. */
export class LeasedSlotPolicy extends SlotPolicy {
  private readonly entries = new Map<string, Entry>();

  private readonly exchanging = new Set<Entry>();

  private readonly retrying = new Set<Entry>();

  /** Begins above the numbers of earlier runs on this VM. */
  private sequence = Date.now();

  constructor(private readonly sendReport: SendReport) {
    super();
  }

  /** Keeps the slots in use confirmed until the signal aborts. */
  start(signal: AbortSignal): void {
    const timer = setInterval(() => this.runStep(), SLOT_EXCHANGE_INTERVAL_MS);
    signal.addEventListener('abort', () => clearInterval(timer), { once: true });
  }

  override tryAcquire(target: SlotTarget): SlotHandle | undefined {
    const entry = this.ensureEntry(target);
    if (entry.waiters.length === 0 && entry.account.tryTake()) return this.createHandle(entry);
    this.startExchange(entry);
    return undefined;
  }

  override acquire(target: SlotTarget, signal: AbortSignal): Promise<SlotHandle> {
    if (signal.aborted) return Promise.reject(createNoSlotRefusal());
    const handle = this.tryAcquire(target);
    return handle ? Promise.resolve(handle) : this.waitForSlot(this.ensureEntry(target), signal);
  }

  /** Lists reports of everything held in a group; answers to earlier reports are void from now on. */
  listReports(group: string): readonly SlotReport[] {
    return [...this.entries.values()]
      .filter((entry) => entry.group === group)
      .map((entry) => entry.account.beginExchange());
  }

  /** Gives the state for the dump. */
  dump(): unknown {
    return Object.fromEntries([...this.entries].map(([key, entry]) => [key, entry.account.dump()]));
  }

  private runStep(): void {
    this.entries.forEach((entry, key) => {
      this.serveWaiters(entry);
      if (entry.account.needExchange()) this.startExchange(entry);
      else if (entry.account.isIdle()) this.entries.delete(key);
    });
  }

  private ensureEntry(target: SlotTarget): Entry {
    const key = `${target.upstreamId} ${target.bootId}`;
    const known = this.entries.get(key);
    if (known) {
      known.account.update(target);
      return known;
    }
    const account = new SlotAccount(target, () => this.nextSequence());
    const group = getSlotGroup(target.upstreamId);
    const entry: Entry = { account, group, bootId: target.bootId, waiters: [] };
    this.entries.set(key, entry);
    return entry;
  }

  private nextSequence(): number {
    this.sequence += 1;
    return this.sequence;
  }

  private waitForSlot(entry: Entry, signal: AbortSignal): Promise<SlotHandle> {
    return new Promise((resolve, reject) => {
      const ended = new AbortController();
      const waiter: Waiter = {
        resolve: (handle) => {
          ended.abort();
          resolve(handle);
        },
      };
      const fail = (): void => {
        entry.waiters.splice(entry.waiters.indexOf(waiter), 1);
        entry.account.setWaiting(entry.waiters.length);
        reject(createNoSlotRefusal());
      };
      signal.addEventListener('abort', fail, { once: true, signal: ended.signal });
      entry.waiters.push(waiter);
      entry.account.setWaiting(entry.waiters.length);
      this.startExchange(entry);
    });
  }

  private serveWaiters(entry: Entry): void {
    while (entry.waiters.length > 0 && entry.account.tryTake()) {
      entry.waiters.shift()?.resolve(this.createHandle(entry));
    }
    entry.account.setWaiting(entry.waiters.length);
  }

  private createHandle(entry: Entry): SlotHandle {
    const { bootId } = entry;
    let isReleased = false;
    return {
      bootId,
      begin: (connectionBootId) =>
        !isReleased && connectionBootId === bootId && entry.account.canSend(),
      release: (isCompleted) => {
        if (isReleased) return;
        isReleased = true;
        entry.account.finish(isCompleted);
        this.serveWaiters(entry);
        if (entry.account.isCold) this.startExchange(entry);
      },
    };
  }

  private startExchange(entry: Entry): void {
    if (this.exchanging.has(entry)) return;
    this.exchanging.add(entry);
    this.runExchange(entry)
      .catch(() => undefined)
      .finally(() => {
        this.exchanging.delete(entry);
        if (entry.waiters.length > 0) this.scheduleRetry(entry);
      });
  }

  private scheduleRetry(entry: Entry): void {
    if (this.retrying.has(entry)) return;
    this.retrying.add(entry);
    setTimeout(() => {
      this.retrying.delete(entry);
      this.startExchange(entry);
    }, SLOT_RETRY_MS);
  }

  private async runExchange(entry: Entry): Promise<void> {
    const grant = await this.sendReport(entry.account.beginExchange());
    if (grant) entry.account.acceptGrant(grant);
    this.serveWaiters(entry);
  }
}
