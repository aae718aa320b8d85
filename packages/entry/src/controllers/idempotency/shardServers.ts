import { setMaxListeners } from 'node:events';
import { ShardServer, createBatchingAppender, rankShardServers, toId } from '@goldcrestscale/core';
import type {
  AppendBudget,
  Appender,
  LogStream,
  IdempotencyWindow,
  RandomGenerator,
  ShardId,
  StreamName,
  VmId,
} from '@goldcrestscale/core';
import { SHARD_REPLICA_COUNT, SHARD_IDLE_TIMEOUT_MS } from './constants.js';

/** Options of the shard servers. */
export interface ShardServersOptions {
  readonly vmId: VmId;
  readonly shardCount: number;
  readonly openStream: (name: StreamName) => LogStream;
  readonly window: IdempotencyWindow;
  readonly generator: RandomGenerator;
  readonly budget?: AppendBudget;
  /** Lists the entry VMs considered alive. */
  readonly listEntryVms: () => readonly VmId[];
  readonly signal: AbortSignal;
}

interface RunningServer {
  readonly server: ShardServer;
  readonly stop: () => void;
  lastUsedAtMs: number;
}

const createAppender = (
  { budget, generator }: ShardServersOptions,
  stream: LogStream,
  signal: AbortSignal,
): Appender =>
  createBatchingAppender({
    stream,
    priority: 'once',
    signal,
    generator,
    ...(budget ? { budget } : {}),
  });

/** Claim shard servers that run on this VM. */
export class ShardServers {
  private readonly runningServers = new Map<ShardId, RunningServer>();

  constructor(private readonly options: ShardServersOptions) {}

  /**
   * Ranks the VMs that run a shard by rendezvous hashing: the first serves it, the others stand by.
   */
  rankServers(shard: ShardId): readonly VmId[] {
    return rankShardServers(shard, this.options.listEntryVms()).slice(0, SHARD_REPLICA_COUNT);
  }

  /** Returns the local server of a shard; starts it if it is not running. */
  getServer(shard: ShardId): ShardServer {
    const running = this.runningServers.get(shard) ?? this.startServer(shard);
    running.lastUsedAtMs = performance.now();
    return running.server;
  }

  /** Starts the servers of shards that this VM serves or stands by for; stops others once idle. */
  updateShards(): void {
    const { shardCount, vmId } = this.options;
    for (let shard = 0 as ShardId; shard < shardCount; shard = (shard + 1) as ShardId) {
      if (this.rankServers(shard).includes(vmId)) this.getServer(shard);
    }
    const idleBeforeMs = performance.now() - SHARD_IDLE_TIMEOUT_MS;
    this.runningServers.forEach((running, shard) => {
      if (running.lastUsedAtMs > idleBeforeMs) return;
      running.stop();
      this.runningServers.delete(shard);
    });
  }

  /** Describes the running servers for the state dump. */
  describeShards(): readonly { shard: ShardId; replayed: boolean; keys: number }[] {
    return [...this.runningServers].map(([shard, { server }]) => ({
      shard,
      replayed: server.isReplayed,
      keys: server.keyCount,
    }));
  }

  private startServer(shard: ShardId): RunningServer {
    const { openStream, window, generator, signal } = this.options;
    const stopController = new AbortController();
    setMaxListeners(0, stopController.signal);
    const stop = (): void => stopController.abort();
    signal.addEventListener('abort', stop, { once: true, signal: stopController.signal });
    const stream = openStream(toId<StreamName>(`once-${shard}`));
    const appender = createAppender(this.options, stream, stopController.signal);
    const server = new ShardServer({ stream, appender, window, generator });
    const running = { server, stop, lastUsedAtMs: performance.now() };
    this.runningServers.set(shard, running);
    server.follow(stopController.signal).catch(() => {
      // An unexpected error stops this server; the next use starts one that replays the log.
      stop();
      if (this.runningServers.get(shard) === running) this.runningServers.delete(shard);
    });
    return running;
  }
}
