import { xorshift128plus } from 'pure-rand/generator/xorshift128plus';
import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { LogError, LogStream, MemoryLog, toId } from '@goldcrestscale/core';
import type {
  BootId,
  LogOffset,
  LogPage,
  LogReadOptions,
  SlotPolicy,
  SlotTarget,
  UpstreamId,
  VmId,
} from '@goldcrestscale/core';
import { MemoryNetwork } from '../../../mesh/index.js';
import type { PeerLink } from '../../../mesh/index.js';

/** A fleet of VMs that load one upstream, on the paused clock, with faults. */

export const COLD_CONCURRENT = 2;
export const MAX_CONCURRENT = 16;

const COLD_COMPLETIONS = 12;
const LOAD_LAG_MS = 1_000;
const ACQUIRE_TIMEOUT_MS = 4_000;

export const sleep = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** An engine that counts how far it is pushed over what it bears while it is cold. */
export class FakeUpstream {
  readonly upstreamId = toId<UpstreamId>('engine-1');

  overshoot = 0;

  totalCompleted = 0;

  inFlight = 0;

  private boot = 1;

  private completed = 0;

  get bootId(): BootId {
    return toId<BootId>(`engine-boot-${this.boot}`);
  }

  get isCold(): boolean {
    return this.completed < COLD_COMPLETIONS;
  }

  reboot(): void {
    this.boot += 1;
    this.completed = 0;
    this.inFlight = 0;
  }

  describe(): SlotTarget {
    const { upstreamId, bootId, isCold } = this;
    const limits = { maxConcurrent: MAX_CONCURRENT, coldConcurrent: COLD_CONCURRENT };
    return { upstreamId, bootId, cold: isCold, ...limits };
  }

  /** Runs a request that came over a connection to one run; false where the connection broke. */
  async run(connectionBootId: BootId, workMs: number): Promise<boolean> {
    if (connectionBootId !== this.bootId) return false;
    this.inFlight += 1;
    if (this.isCold) this.overshoot = Math.max(this.overshoot, this.inFlight - COLD_CONCURRENT);
    await sleep(workMs);
    if (connectionBootId !== this.bootId) return false;
    this.inFlight -= 1;
    this.completed += 1;
    this.totalCompleted += 1;
    return true;
  }
}

/** One VM's way to the log. */
class VmLogStream extends LogStream {
  constructor(
    private readonly log: MemoryLog,
    private readonly vmId: VmId,
    private readonly world: Pick<SlotWorld, 'network' | 'cutFromLog'>,
  ) {
    super();
  }

  override async append(values: readonly unknown[]): Promise<LogOffset> {
    await this.waitForWay();
    const offset = await this.log.append(values);
    await this.waitForWay();
    return offset;
  }

  override async read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    await this.waitForWay();
    const page = await this.log.read(from, options);
    await this.waitForWay();
    return page;
  }

  private async waitForWay(): Promise<void> {
    await sleep(2);
    await this.world.network.waitWhilePaused(this.vmId);
    if (this.world.cutFromLog.has(this.vmId)) throw new LogError('cut', 'unknown');
  }
}

/** What a policy is built from. */
export interface VmParts {
  readonly vmId: VmId;
  readonly index: number;
  readonly link: PeerLink;
  readonly leaseStream: LogStream;
  readonly listLive: () => readonly VmId[];
  readonly listEntryVms: () => readonly VmId[];
  readonly signal: AbortSignal;
}

export interface Fault {
  readonly kind: 'reboot' | 'pause' | 'cutFromLog' | 'split' | 'logOutage';
  readonly index: number;
  readonly atMs: number;
  readonly forMs: number;
}

export class SlotWorld {
  readonly upstream = new FakeUpstream();

  readonly network = new MemoryNetwork({ delayMs: 2 });

  readonly cutFromLog = new Set<VmId>();

  readonly vmIds: readonly VmId[];

  private readonly log = new MemoryLog();

  private readonly stop = new AbortController();

  private readonly random: () => number;

  private laggedTarget: SlotTarget;

  constructor(
    vmCount: number,
    private readonly createPolicy: (parts: VmParts) => SlotPolicy,
    private readonly getRequestIntervalMs: (index: number) => number = () => 400,
  ) {
    const generator = xorshift128plus(11);
    this.random = () => uniformFloat64(generator);
    this.vmIds = Array.from({ length: vmCount }, (_, index) => toId<VmId>(`entry-${index}`));
    this.laggedTarget = this.upstream.describe();
    setInterval(() => {
      const target = this.upstream.describe();
      setTimeout(() => {
        this.laggedTarget = target;
      }, LOAD_LAG_MS);
    }, 250);
    this.vmIds.forEach((vmId, index) => this.startVm(vmId, index));
  }

  applyFault({ kind, index, atMs, forMs }: Fault): void {
    const vmId = this.vmIds[index] as VmId;
    const begin: Record<Fault['kind'], () => void> = {
      reboot: () => this.upstream.reboot(),
      pause: () => this.network.pause(vmId),
      cutFromLog: () => this.cutFromLog.add(vmId),
      split: () => this.network.partition(this.vmIds.slice(0, index + 1)),
      logOutage: () => this.vmIds.forEach((id) => this.cutFromLog.add(id)),
    };
    const finish: Record<Fault['kind'], () => void> = {
      reboot: () => undefined,
      pause: () => this.network.resume(vmId),
      cutFromLog: () => this.cutFromLog.delete(vmId),
      split: () => this.network.partition(),
      logOutage: () => this.cutFromLog.clear(),
    };
    setTimeout(begin[kind], atMs);
    setTimeout(finish[kind], atMs + forMs);
  }

  close(): void {
    this.stop.abort();
  }

  private startVm(vmId: VmId, index: number): void {
    const link = this.network.join({ vmId, bootId: toId<BootId>(`${vmId}-1`) });
    const policy = this.createPolicy({
      vmId,
      index,
      link,
      leaseStream: new VmLogStream(this.log, vmId, this),
      listLive: () => [vmId, ...link.listConnected().map((peer) => peer.vmId)],
      listEntryVms: () => this.vmIds,
      signal: this.stop.signal,
    });
    setInterval(() => {
      this.sendRequest(vmId, policy).catch(() => undefined);
    }, this.getRequestIntervalMs(index));
  }

  private async sendRequest(vmId: VmId, policy: SlotPolicy): Promise<void> {
    if (this.stop.signal.aborted) return;
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), ACQUIRE_TIMEOUT_MS);
    const handle = await policy.acquire(this.laggedTarget, timeout.signal);
    clearTimeout(timer);
    await this.network.waitWhilePaused(vmId);
    await sleep(3);
    const connectionBootId = this.upstream.bootId;
    await this.network.waitWhilePaused(vmId);
    let isCompleted = false;
    if (handle.begin(connectionBootId)) {
      // The process may be held up even between its check and the send.
      await this.network.waitWhilePaused(vmId);
      isCompleted = await this.upstream.run(connectionBootId, 300 + this.random() * 2_500);
    }
    handle.release(isCompleted);
  }
}
