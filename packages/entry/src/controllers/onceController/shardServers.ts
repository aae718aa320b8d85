import { setMaxListeners } from 'node:events';
import { ShardServer, createBatchingAppender, rankShardServers, toId } from '@goldcrestscale/core';
import type {
  AppendBudget,
  Appender,
  LogStream,
  OnceWindow,
  RandomGenerator,
  ShardId,
  StreamName,
  VmId,
} from '@goldcrestscale/core';
import { SHARD_FOLLOWERS, SHARD_IDLE_MS } from './constants.js';

/** What the shards of a VM need. */
export interface ShardServersOptions {
  readonly vmId: VmId;
  readonly shardCount: number;
  readonly openStream: (name: StreamName) => LogStream;
  readonly window: OnceWindow;
  readonly generator: RandomGenerator;
  readonly budget?: AppendBudget;
  /** Gives the entry VMs that are believed to live. */
  readonly listEntryVms: () => readonly VmId[];
  readonly signal: AbortSignal;
}

interface RunningServer {
  readonly server: ShardServer;
  readonly stop: () => void;
  usedAtMs: number;
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

/** The shards that this VM serves now. */
export class ShardServers {
  private readonly running = new Map<ShardId, RunningServer>();

  constructor(private readonly options: ShardServersOptions) {}

  /** Ranks the VMs that follow a shard by rendezvous hashing; the first one serves it. */
  rankServers(shard: ShardId): readonly VmId[] {
    return rankShardServers(shard, this.options.listEntryVms()).slice(0, SHARD_FOLLOWERS);
  }

  /** Gives the local server of a shard; starts it where it does not run. */
  getServer(shard: ShardId): ShardServer {
    const running = this.running.get(shard) ?? this.startServer(shard);
    running.usedAtMs = performance.now();
    return running.server;
  }

  /** Starts the shards that this VM serves or stands by for, and stops the others once they are idle. */
  updateShards(): void {
    const { shardCount, vmId } = this.options;
    for (let shard = 0 as ShardId; shard < shardCount; shard = (shard + 1) as ShardId) {
      if (this.rankServers(shard).includes(vmId)) this.getServer(shard);
    }
    const idleBeforeMs = performance.now() - SHARD_IDLE_MS;
    this.running.forEach((running, shard) => {
      if (running.usedAtMs > idleBeforeMs) return;
      running.stop();
      this.running.delete(shard);
    });
  }

  /** Describes the running servers. */
  describeShards(): readonly { shard: ShardId; replayed: boolean; keys: number }[] {
    return [...this.running].map(([shard, { server }]) => ({
      shard,
      replayed: server.isReplayed,
      keys: server.keyCount,
    }));
  }

  private startServer(shard: ShardId): RunningServer {
    const { openStream, window, generator, signal } = this.options;
    const stopping = new AbortController();
    setMaxListeners(0, stopping.signal);
    const stop = (): void => stopping.abort();
    signal.addEventListener('abort', stop, { once: true, signal: stopping.signal });
    const stream = openStream(toId<StreamName>(`once-${shard}`));
    const appender = createAppender(this.options, stream, stopping.signal);
    const server = new ShardServer({ stream, appender, window, generator });
    const running = { server, stop, usedAtMs: performance.now() };
    this.running.set(shard, running);
    server.follow(stopping.signal).catch(() => {
      // An unforeseen failure ends this server; the next use starts a new one that replays.
      stop();
      if (this.running.get(shard) === running) this.running.delete(shard);
    });
    return running;
  }
}
