import { CacheEventFeed, PrefixIndex, toId } from '@goldcrestscale/core';
import type {
  BlockKey,
  BootId,
  PromptBlock,
  UpstreamId,
  VmId,
  VmRecord,
} from '@goldcrestscale/core';
import { request } from 'undici';
import { z } from 'zod';
import { CONTROL_CALL_TIMEOUT_MS, EVENT_PAGE_LIMITS } from '../../constants.js';
import { KeyedPoller } from '../../keyedPoller.js';
import { repeatAtInterval } from '../../repeat.js';
import { readControlJson } from '../../upstream/readControlJson.js';
import { Controller } from '../controller.js';
import { CACHE_EVENT_POLL_INTERVAL_MS } from './constants.js';

const eventPageSchema = z.object({
  bootId: z.string().transform((value) => toId<BootId>(value)),
  events: z.array(
    z.object({
      seq: z.number().int().min(0),
      type: z.enum(['stored', 'evicted', 'cleared']),
      keys: z.array(z.string().transform((value) => toId<BlockKey>(value))),
    }),
  ),
});

/** Options of the prefix index controller. */
export interface PrefixIndexOptions {
  readonly listVms: () => readonly VmRecord[];
  /** Called when an engine has restarted or been removed, and so lost its cache. */
  readonly onCacheLost: (upstreamId: UpstreamId) => void;
}

/** Updates the prefix index from the engines' cache events and usage reports. */
export class PrefixIndexController extends Controller {
  override readonly name = 'prefixIndex';

  readonly index = new PrefixIndex();

  private readonly eventFeed = new CacheEventFeed(this.index);

  private readonly pollSet = new KeyedPoller<VmId>();

  private readonly knownBootIds = new Map<UpstreamId, string>();

  constructor(private readonly options: PrefixIndexOptions) {
    super();
  }

  override start(signal: AbortSignal): Promise<void> {
    repeatAtInterval(() => this.refresh(signal), CACHE_EVENT_POLL_INTERVAL_MS, signal);
    return Promise.resolve();
  }

  /** Corrects the index by the cached tokens that an engine reports for a request. */
  recordUsage(
    upstreamId: UpstreamId,
    blocks: readonly PromptBlock[],
    cachedTokens: number,
    expectedTokens: number,
  ): void {
    this.index.recordUsage(upstreamId, blocks, cachedTokens, expectedTokens);
  }

  override dump(): unknown {
    return this.index.dump();
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    const engines = this.options.listVms().filter((vm) => vm.role === 'engine');
    this.removeUnlisted(new Set(engines.map((vm) => vm.vmId)));
    // Entries of an unresponsive engine are kept: a stale entry costs latency only.
    await Promise.all(
      engines.map((vm) => this.pollSet.run(vm.vmId, () => this.pollEngine(vm, signal))),
    );
  }

  private removeUnlisted(listedIds: ReadonlySet<string>): void {
    for (const upstreamId of this.knownBootIds.keys()) {
      if (!listedIds.has(upstreamId)) {
        this.knownBootIds.delete(upstreamId);
        this.eventFeed.removeUpstream(upstreamId);
        this.options.onCacheLost(upstreamId);
      }
    }
  }

  private async pollEngine(vm: VmRecord, signal: AbortSignal): Promise<void> {
    const upstreamId = toId<UpstreamId>(vm.vmId);
    const fromSeq = this.eventFeed.getNextSeq(upstreamId);
    const response = await request(`http://${vm.address}/events?from=${fromSeq}`, {
      headersTimeout: CONTROL_CALL_TIMEOUT_MS,
      bodyTimeout: CONTROL_CALL_TIMEOUT_MS,
      signal,
    });
    const page = eventPageSchema.parse(await readControlJson(response.body, EVENT_PAGE_LIMITS));
    const previousBootId = this.knownBootIds.get(upstreamId);
    if (previousBootId !== undefined && previousBootId !== page.bootId)
      this.options.onCacheLost(upstreamId);
    this.knownBootIds.set(upstreamId, page.bootId);
    this.eventFeed.applyPage(upstreamId, page);
  }
}
