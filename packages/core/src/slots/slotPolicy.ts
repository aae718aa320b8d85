import type { BootId } from '../ids.js';
import type { SlotTarget } from './slotAccount.js';

/** A slot taken for one request. */
export interface SlotHandle {
  /** Run of the upstream that the slot is for. */
  readonly bootId: BootId;
  /**
   * Tells whether the request may be sent now, over a connection to the named run of the upstream.
   * Call it after the last await before the send; false means that nothing may be sent.
   */
  begin(connectionBootId: BootId): boolean;
  /** Gives the slot back, once; `isCompleted` tells whether the upstream did the work. */
  release(isCompleted: boolean): void;
}

/** Decides how many requests this VM may have in flight at an upstream. */
export abstract class SlotPolicy {
  /** Takes a slot at once, where there is one. */
  abstract tryAcquire(target: SlotTarget): SlotHandle | undefined;

  /**
   * Waits for a slot.
   *
   * @throws GoldcrestError `overloaded` when the signal aborts first
   */
  abstract acquire(target: SlotTarget, signal: AbortSignal): Promise<SlotHandle>;
}
