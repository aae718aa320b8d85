import type { VmRecord } from '@goldcrestscale/core';
import type { VmListClient } from '@goldcrestscale/platform';
import type { Logger } from '@goldcrestscale/runtime';
import { VM_LIST_INTERVAL_MS } from '../../constants.js';
import { repeatUntilAborted } from '../../repeat.js';
import { Controller } from '../controller.js';

/** Keeps the last known VM list; an outage of the list leaves the last one in force. */
export class VmListController extends Controller {
  override readonly name = 'vmList';

  private vms: readonly VmRecord[] = [];

  private readAtMs: number | undefined;

  constructor(
    private readonly reader: VmListClient,
    private readonly logger: Logger,
  ) {
    super();
  }

  override async start(signal: AbortSignal): Promise<void> {
    await this.refresh(signal);
    void repeatUntilAborted(() => this.refresh(signal), VM_LIST_INTERVAL_MS, signal);
  }

  listVms(): readonly VmRecord[] {
    return this.vms;
  }

  override dump(): unknown {
    return { readAtMs: this.readAtMs, vms: this.vms };
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    try {
      this.vms = await this.reader.listVms(signal);
      this.readAtMs = Date.now();
    } catch (cause) {
      this.logger.warn('VM list not read; the last one stays in force', { error: String(cause) });
    }
  }
}
