import type { SlotHandle, SlotPolicy } from '@goldcrestscale/core';
import { SLOT_WAIT_TIMEOUT_MS } from '../constants.js';
import { AttemptRunner } from './attempt.js';
import type { Attempt } from './attempt.js';
import { createNoUpstreamRefusal } from './upstreamDirectory.js';

/** Holds a concurrency slot of the upstream for the duration of an attempt. */
export class SlotRunner extends AttemptRunner {
  constructor(
    private readonly runner: AttemptRunner,
    private readonly slots: SlotPolicy,
  ) {
    super();
  }

  override async run(attempt: Attempt): Promise<void> {
    const handle = await this.acquireSlot(attempt);
    let isCompleted = false;
    try {
      await this.runner.run({
        ...attempt,
        onBeforeSend: (connectionBootId) => {
          attempt.onBeforeSend(connectionBootId);
          if (!handle.begin(connectionBootId)) throw createNoUpstreamRefusal();
        },
      });
      isCompleted = true;
    } finally {
      handle.release(isCompleted);
    }
  }

  /** Waits only briefly, because another upstream may have a free slot. */
  private async acquireSlot(attempt: Attempt): Promise<SlotHandle> {
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), SLOT_WAIT_TIMEOUT_MS);
    try {
      const signal = AbortSignal.any([attempt.signal, timeout.signal]);
      return await this.slots.acquire(attempt.upstream, signal);
    } finally {
      clearTimeout(timer);
    }
  }
}
