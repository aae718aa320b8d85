import {
  CLOCK_ALLOWANCE_MS,
  LogOnceGuard,
  ONCE_WINDOW_MS,
  pickShard,
  sleep,
} from '@goldcrestscale/core';
import type {
  AccountKey,
  AppendBudget,
  LogStream,
  OnceGuard,
  OnceWindow,
  RandomGenerator,
  ShardServer,
  StreamName,
  VmId,
} from '@goldcrestscale/core';
import type { PeerLink } from '../../mesh/index.js';
import { Controller } from '../controller.js';
import { SHARD_REVIEW_INTERVAL_MS } from './constants.js';
import { LinkedShardAccess } from './linkedShardAccess.js';
import { claimMessage, settleMessage, statusMessage, waitMessage } from './onceMessages.js';
import { ShardServers } from './shardServers.js';

/** What the controller of unrepeatable requests needs. */
export interface OnceControllerOptions {
  readonly link: PeerLink;
  /** Number of log streams that hold the claims; the same on every VM. */
  readonly shardCount: number;
  readonly openStream: (name: StreamName) => LogStream;
  readonly generator: RandomGenerator;
  /** Gives the entry VMs that are believed to live, this one included. */
  readonly listEntryVms: () => readonly VmId[];
  readonly budget?: AppendBudget;
  /**
   * The same on every VM; the log must keep records for longer than the window and twice the
   * clock allowance. @default ONCE_WINDOW_MS and CLOCK_ALLOWANCE_MS
   */
  readonly window?: OnceWindow;
}

/** Serves shards of the claims and guards this VM's unrepeatable requests. */
export class OnceController extends Controller {
  override readonly name = 'once';

  private readonly closing = new AbortController();

  private readonly servers: ShardServers;

  private readonly logGuard: LogOnceGuard;

  constructor(private readonly options: OnceControllerOptions) {
    super();
    const { link, shardCount, generator } = options;
    const { vmId, bootId } = link.self;
    const { signal } = this.closing;
    const window = { windowMs: ONCE_WINDOW_MS, clockAllowanceMs: CLOCK_ALLOWANCE_MS };
    this.servers = new ShardServers({ window, ...options, vmId, signal });
    const access = new LinkedShardAccess({ vmId, shardCount, link, servers: this.servers });
    this.logGuard = new LogOnceGuard({ access, vmId, bootId, generator, signal });
  }

  /** Decides whether an unrepeatable request may run. */
  get guard(): OnceGuard {
    return this.logGuard;
  }

  override start(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.closing.abort(), { once: true });
    if (signal.aborted) this.closing.abort();
    this.registerHandlers();
    this.servers.updateShards();
    this.watchShards(signal).catch(() => undefined);
    return Promise.resolve();
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

  private registerHandlers(): void {
    const { link } = this.options;
    claimMessage.register(link, (request) => this.findServer(request.claim).claim(request));
    waitMessage.register(link, async (holder, { signal }) => {
      await this.findServer(holder).waitForChange(holder, holder.attemptId, signal);
      return {};
    });
    settleMessage.register(link, async (record) => {
      await this.findServer(record).settle(record);
      return {};
    });
    statusMessage.register(link, ({ attemptId, bootId }) =>
      this.logGuard.getStatus(attemptId, bootId),
    );
  }

  private findServer(accountKey: AccountKey): ShardServer {
    return this.servers.getServer(pickShard(accountKey, this.options.shardCount));
  }

  private async watchShards(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(SHARD_REVIEW_INTERVAL_MS, signal);
      if (!signal.aborted) this.servers.updateShards();
    }
  }
}

/** Creates the controller of unrepeatable requests. */
export const createOnceController = (options: OnceControllerOptions): OnceController =>
  new OnceController(options);
