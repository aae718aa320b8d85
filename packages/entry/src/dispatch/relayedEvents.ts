import { ByteReservation } from '@goldcrestscale/runtime';
import type { ByteBudget } from '@goldcrestscale/runtime';

/** Memory of an event beside its payload. */
const EVENT_OVERHEAD_BYTES = 64;

/** Share of the memory up to which events are kept; the rest is for what can't be left out. */
const RESUME_MEMORY_FRACTION = 0.5;

/** Payloads of the stream events relayed to a caller, from which an interrupted stream is resumed. */
export class RelayedEvents {
  private events: string[] = [];

  private reservation: ByteReservation | undefined;

  private hasLostEvents = false;

  /** Whether there was no memory for all of them, so that the stream can't be resumed. */
  get isIncomplete(): boolean {
    return this.hasLostEvents;
  }

  /** Adds a payload, or drops all of them if there is no memory for it. */
  add(data: string, budget: ByteBudget): void {
    if (this.hasLostEvents) return;
    this.reservation ??= new ByteReservation(budget);
    const bytes = EVENT_OVERHEAD_BYTES + data.length;
    const isRoom = budget.heldBytes + bytes <= budget.limitBytes * RESUME_MEMORY_FRACTION;
    if (isRoom && this.reservation.tryGrow(bytes)) {
      this.events.push(data);
      return;
    }
    this.hasLostEvents = true;
    this.release();
  }

  list(): readonly string[] {
    return this.events;
  }

  /** Forgets the events and gives back their memory. */
  release(): void {
    this.events = [];
    this.reservation?.release();
  }
}
