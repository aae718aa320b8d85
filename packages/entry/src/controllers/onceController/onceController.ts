import {
  CLOCK_ALLOWANCE_MS,
  LogOnceGuard,
  ONCE_WINDOW_MS,
  claimRecordSchema,
  claimRequestSchema,
  pickShard,
  settlementRecordSchema,
  sleep,
} from '@goldcrestscale/core';
import type {
  AppendBudget,
  AttemptId,
  BootId,
  LogStream,
  OnceGuard,
  OnceWindow,
  RandomGenerator,
  StreamName,
  VmId,
} from '@goldcrestscale/core';
import { z } from 'zod';
import { Controller } from '../controller.js';
import { SHARD_REVIEW_INTERVAL_MS } from './constants.js';
import { LinkedShardAccess, ONCE_MESSAGES } from './linkedShardAccess.js';
import type { PeerLink } from './peerLink.js';
import { ShardServers } from './shardServers.js';

/** What the controller of unrepeatable requests needs. */
export interface OnceControllerOptions {
  readonly vmId: VmId;
  readonly bootId: BootId;
  readonly link: PeerLink;
  /** Number of log streams that hold the claims; the same on every VM. */
  readonly shardCount: number;
  readonly openStream: (name: StreamName) => LogStream;
  readonly generator: RandomGenerator;
  /** Gives the entry VMs that are believed to live, this one included. */
  readonly listEntryVms: () => readonly VmId[];
  readonly budget?: AppendBudget;
  /** The same on every VM. @default ONCE_WINDOW_MS and CLOCK_ALLOWANCE_MS */
  readonly window?: OnceWindow;
}

const statusRequestSchema = z.strictObject({
  attemptId: z.string().transform((value) => value as AttemptId),
  bootId: z.string().transform((value) => value as BootId),
});

/** Serves shards of the claims and guards this VM's unrepeatable requests. */
export class OnceController extends Controller {
  override readonly name = 'once';

  private readonly closing = new AbortController();

  private readonly servers: ShardServers;

  private readonly logGuard: LogOnceGuard;

  constructor(private readonly options: OnceControllerOptions) {
    super();
    const { vmId, bootId, link, shardCount, generator } = options;
    const window = options.window ?? {
      windowMs: ONCE_WINDOW_MS,
      clockAllowanceMs: CLOCK_ALLOWANCE_MS,
    };
    const { signal } = this.closing;
    this.servers = new ShardServers({ ...options, window, signal });
    const access = new LinkedShardAccess({ vmId, shardCount, link, servers: this.servers });
    this.logGuard = new LogOnceGuard({ access, vmId, bootId, generator, signal });
  }

  /** Decides whether an unrepeatable request may run. */
  get guard(): OnceGuard {
    return this.logGuard;
  }

  override async start(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.closing.abort(), { once: true });
    if (signal.aborted) this.closing.abort();
    this.servers.updateShards();
    this.reviewShards(signal).catch(() => undefined);
  }

  /** Handles a request of another entry VM; the link calls it for types that begin with "once/". */
  async handlePeer(type: string, payload: unknown, signal: AbortSignal): Promise<unknown> {
    if (type === ONCE_MESSAGES.claim) {
      const request = claimRequestSchema.parse(payload);
      return this.findServer(request.claim).claim(request);
    }
    if (type === ONCE_MESSAGES.wait) {
      const holder = claimRecordSchema.parse(payload);
      await this.findServer(holder).waitForChange(holder, holder.attemptId, signal);
      return {};
    }
    if (type === ONCE_MESSAGES.settle) {
      const record = settlementRecordSchema.parse(payload);
      await this.findServer(record).settle(record);
      return {};
    }
    if (type === ONCE_MESSAGES.status) {
      const { attemptId, bootId } = statusRequestSchema.parse(payload);
      return this.logGuard.getStatus(attemptId, bootId);
    }
    throw new Error(`unknown message type ${type}`);
  }

  /** Resolves once every outcome and release so far is in the log; part of a graceful shutdown. */
  flush(): Promise<void> {
    return this.logGuard.flush();
  }

  override dump(): unknown {
    return {
      shardCount: this.options.shardCount,
      served: this.servers.describeShards(),
      attempts: this.logGuard.countAttempts(),
    };
  }

  private findServer(accountKey: Parameters<typeof pickShard>[0]) {
    return this.servers.getServer(pickShard(accountKey, this.options.shardCount));
  }

  private async reviewShards(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(SHARD_REVIEW_INTERVAL_MS, signal);
      if (!signal.aborted) this.servers.updateShards();
    }
  }
}

/** Creates the controller of unrepeatable requests. */
export const createOnceController = (options: OnceControllerOptions): OnceController =>
  new OnceController(options);
