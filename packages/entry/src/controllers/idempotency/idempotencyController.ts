import {
  MAX_CLOCK_SKEW_MS,
  LogIdempotencyGuard,
  IDEMPOTENCY_WINDOW_MS,
  pickShard,
  sleep,
} from '@goldcrestscale/core';
import type {
  ScopedIdempotencyKey,
  AppendBudget,
  LogStream,
  IdempotencyGuard,
  IdempotencyWindow,
  RandomGenerator,
  ShardServer,
  StreamName,
  VmId,
} from '@goldcrestscale/core';
import type { PeerTransport } from '../../mesh/index.js';
import { Controller } from '../controller.js';
import { SHARD_ASSIGNMENT_INTERVAL_MS } from './constants.js';
import { MeshShardAccess } from './meshShardAccess.js';
import { claimMessage, settleMessage, statusMessage, waitMessage } from './claimMessages.js';
import { ShardServers } from './shardServers.js';

/** Options of the idempotency controller. */
export interface IdempotencyOptions {
  readonly link: PeerTransport;
  /** Number of claim shards, each with its own log stream; must be the same on every VM. */
  readonly shardCount: number;
  readonly openStream: (name: StreamName) => LogStream;
  readonly generator: RandomGenerator;
  /** Lists the entry VMs considered alive, including this one. */
  readonly listEntryVms: () => readonly VmId[];
  readonly budget?: AppendBudget;
  /**
   * Must be the same on every VM. The log must retain records for longer than the window plus
   * twice the clock skew. @default IDEMPOTENCY_WINDOW_MS and MAX_CLOCK_SKEW_MS
   */
  readonly window?: IdempotencyWindow;
}

/** Serves claim shards, and guards this VM's non-idempotent requests against a second execution. */
export class IdempotencyController extends Controller {
  override readonly name = 'once';

  private readonly closeController = new AbortController();

  private readonly shardServers: ShardServers;

  private readonly claimGuard: LogIdempotencyGuard;

  constructor(private readonly options: IdempotencyOptions) {
    super();
    const { link, shardCount, generator } = options;
    const { vmId, bootId } = link.self;
    const { signal } = this.closeController;
    const window = { windowMs: IDEMPOTENCY_WINDOW_MS, maxClockSkewMs: MAX_CLOCK_SKEW_MS };
    this.shardServers = new ShardServers({ window, ...options, vmId, signal });
    const access = new MeshShardAccess({ vmId, shardCount, link, servers: this.shardServers });
    this.claimGuard = new LogIdempotencyGuard({ access, vmId, bootId, generator, signal });
  }

  /** Guard that decides whether a non-idempotent request may run. */
  get guard(): IdempotencyGuard {
    return this.claimGuard;
  }

  override start(signal: AbortSignal): Promise<void> {
    signal.addEventListener('abort', () => this.closeController.abort(), { once: true });
    if (signal.aborted) this.closeController.abort();
    this.registerHandlers();
    this.shardServers.updateShards();
    this.followAssignments(signal).catch(() => undefined);
    return Promise.resolve();
  }

  /** Resolves once all outcomes and releases so far are in the log; part of a graceful shutdown. */
  flush(): Promise<void> {
    return this.claimGuard.flush();
  }

  override dump(): unknown {
    return {
      shardCount: this.options.shardCount,
      served: this.shardServers.describeShards(),
      attempts: this.claimGuard.countAttempts(),
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
      this.claimGuard.getAttemptStatus(attemptId, bootId),
    );
  }

  private findServer(accountKey: ScopedIdempotencyKey): ShardServer {
    return this.shardServers.getServer(pickShard(accountKey, this.options.shardCount));
  }

  private async followAssignments(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      await sleep(SHARD_ASSIGNMENT_INTERVAL_MS, signal);
      if (!signal.aborted) this.shardServers.updateShards();
    }
  }
}

/** Creates the idempotency controller. */
export const createIdempotencyController = (options: IdempotencyOptions): IdempotencyController =>
  new IdempotencyController(options);
