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
import { CONTROL_TIMEOUT_MS } from '../../constants.js';
import { PollSet } from '../../pollSet.js';
import { repeatWhileRunning } from '../../repeat.js';
import { Controller } from '../controller.js';
import { EVENT_POLL_MS } from './constants.js';

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

/** What the prefix index controller reads. */
export interface PrefixIndexOptions {
  readonly listVms: () => readonly VmRecord[];
  /** Called when an engine has lost its cache. */
  readonly onLost: (upstreamId: UpstreamId) => void;
}

/** Keeps the prefix index current from the engines' cache events and usage reports. */
export class PrefixIndexController extends Controller {
  override readonly name = 'prefixIndex';

  readonly index = new PrefixIndex();

  private readonly feed = new CacheEventFeed(this.index);

  private readonly polls = new PollSet<VmId>();

  private readonly known = new Map<UpstreamId, string>();

  constructor(private readonly options: PrefixIndexOptions) {
    super();
  }

  override start(signal: AbortSignal): Promise<void> {
    repeatWhileRunning(() => this.refresh(signal), EVENT_POLL_MS, signal);
    return Promise.resolve();
  }

  /** Corrects the index by what an engine reports of a request. */
  learnUsage(
    upstreamId: UpstreamId,
    blocks: readonly PromptBlock[],
    cachedTokens: number,
    expectedTokens: number,
  ): void {
    this.index.learnUsage(upstreamId, blocks, cachedTokens, expectedTokens);
  }

  override dump(): unknown {
    return this.index.dump();
  }

  private async refresh(signal: AbortSignal): Promise<void> {
    const engines = this.options.listVms().filter((vm) => vm.role === 'engine');
    this.removeMissing(new Set(engines.map((vm) => vm.vmId)));
    // An engine that does not answer keeps its entries; a wrong hint costs time only.
    await Promise.all(
      engines.map((vm) => this.polls.run(vm.vmId, () => this.pollEngine(vm, signal))),
    );
  }

  private removeMissing(listed: ReadonlySet<string>): void {
    for (const upstreamId of this.known.keys()) {
      if (!listed.has(upstreamId)) {
        this.known.delete(upstreamId);
        this.feed.removeUpstream(upstreamId);
        this.options.onLost(upstreamId);
      }
    }
  }

  private async pollEngine(vm: VmRecord, signal: AbortSignal): Promise<void> {
    const upstreamId = toId<UpstreamId>(vm.vmId);
    const from = this.feed.getNextSeq(upstreamId);
    const response = await request(`http://${vm.address}/events?from=${from}`, {
      headersTimeout: CONTROL_TIMEOUT_MS,
      bodyTimeout: CONTROL_TIMEOUT_MS,
      signal,
    });
    const page = eventPageSchema.parse(await response.body.json());
    const earlier = this.known.get(upstreamId);
    if (earlier !== undefined && earlier !== page.bootId) this.options.onLost(upstreamId);
    this.known.set(upstreamId, page.bootId);
    this.feed.applyPage(upstreamId, page);
  }
}
