import type { BootId } from '../ids.js';
import type { SlotTarget } from './upstreamSlots.js';

/** A slot taken for one request. */
export interface SlotHandle {
  /** Boot of the upstream that the slot applies to. */
  readonly bootId: BootId;
  /**
   * Returns whether the request may be sent now, over a connection to the given boot of the
   * upstream. Call this after the last await before sending; on false, nothing may be sent.
   */
  begin(connectionBootId: BootId): boolean;
  /** Releases the slot, once; `isCompleted` states whether the upstream completed the request. */
  release(isCompleted: boolean): void;
}

/** Decides how many requests this VM may have in flight at an upstream. */
export abstract class SlotPolicy {
  /** Takes a slot if one is free. */
  abstract tryAcquire(target: SlotTarget): SlotHandle | undefined;

  /**
   * Waits for a slot.
   *
   * @throws GoldcrestError `overloaded` when the signal aborts first
   */
  abstract acquire(target: SlotTarget, signal: AbortSignal): Promise<SlotHandle>;
}
