import type { VmRecord } from '@goldcrestscale/core';
import type { VmListClient } from '@goldcrestscale/platform';
import type { Logger } from '@goldcrestscale/runtime';
import { VM_LIST_INTERVAL_MS } from '../../constants.js';
import { repeatUntilAborted } from '../../repeat.js';
import { Controller } from '../controller.js';

/** What the VM list controller needs. */
export interface VmListOptions {
  readonly client: VmListClient;
  readonly logger: Logger;
  /** Called with each list that was read. */
  readonly onUpdate: (vms: readonly VmRecord[]) => void;
}

/** Keeps the last known VM list; an outage of the list leaves the last one in force. */
export class VmListController extends Controller {
  override readonly name = 'vmList';

  private vms: readonly VmRecord[] = [];

  private readAtMs: number | undefined;

  constructor(private readonly options: VmListOptions) {
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
      this.vms = await this.options.client.listVms(signal);
      this.readAtMs = Date.now();
      this.options.onUpdate(this.vms);
    } catch (cause) {
      this.options.logger.warn('VM list not read; the last one stays in force', {
        error: String(cause),
      });
    }
  }
}
