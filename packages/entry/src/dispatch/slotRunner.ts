import type { SlotHandle, SlotPolicy } from '@goldcrestscale/core';
import { SLOT_WAIT_MS } from '../constants.js';
import { AttemptRunner } from './attempt.js';
import type { Attempt } from './attempt.js';
import { createNoUpstreamRefusal } from './upstreamDirectory.js';
import type { UpstreamDirectory } from './upstreamDirectory.js';

/** Takes a slot of the upstream for the time of an attempt. */
export class SlotRunner extends AttemptRunner {
  constructor(
    private readonly runner: AttemptRunner,
    private readonly slots: SlotPolicy,
    private readonly directory: Pick<UpstreamDirectory, 'findView'>,
  ) {
    super();
  }

  override async run(attempt: Attempt): Promise<void> {
    const handle = await this.acquireSlot(attempt);
    let isCompleted = false;
    try {
      await this.runner.run({
        ...attempt,
        beginSend: (connectionBootId) => {
          this.assertSendable(attempt);
          if (!handle.begin(connectionBootId)) throw createNoUpstreamRefusal();
        },
      });
      isCompleted = true;
    } finally {
      handle.release(isCompleted);
    }
  }

  /** Waits a short time only: the request may find a free slot at another upstream. */
  private async acquireSlot(attempt: Attempt): Promise<SlotHandle> {
    const expiry = new AbortController();
    const timer = setTimeout(() => expiry.abort(), SLOT_WAIT_MS);
    try {
      const signal = AbortSignal.any([attempt.signal, expiry.signal]);
      return await this.slots.acquire(attempt.upstream, signal);
    } finally {
      clearTimeout(timer);
    }
  }

  /** The wait for the slot and the connection took time: all that allowed the attempt is checked again. */
  private assertSendable({ exchange, upstream }: Attempt): void {
    exchange.assertSendable();
    if (!this.directory.findView(upstream.upstreamId)?.eligible) throw createNoUpstreamRefusal();
  }
}
