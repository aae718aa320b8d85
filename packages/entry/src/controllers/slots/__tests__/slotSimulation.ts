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
import type { PeerTransport } from '../../../mesh/index.js';

/**
 * Simulated fleet of VMs that send requests to one upstream, with fake timers and injected faults.
 */

export const COLD_CONCURRENT = 2;
export const MAX_CONCURRENT = 16;

const COLD_COMPLETIONS = 12;
const LOAD_REPORT_DELAY_MS = 1_000;
const ACQUIRE_TIMEOUT_MS = 4_000;

export const sleep = (delayMs: number): Promise<void> =>
  new Promise((resolve) => {
    setTimeout(resolve, delayMs);
  });

/** Engine that records by how much its cold concurrency limit is exceeded. */
export class FakeUpstream {
  readonly upstreamId = toId<UpstreamId>('engine-1');

  overshoot = 0;

  totalCompleted = 0;

  inFlight = 0;

  private bootNumber = 1;

  private completedSinceBoot = 0;

  get bootId(): BootId {
    return toId<BootId>(`engine-boot-${this.bootNumber}`);
  }

  get isCold(): boolean {
    return this.completedSinceBoot < COLD_COMPLETIONS;
  }

  reboot(): void {
    this.bootNumber += 1;
    this.completedSinceBoot = 0;
    this.inFlight = 0;
  }

  describe(): SlotTarget {
    const { upstreamId, bootId, isCold } = this;
    const limits = { maxConcurrent: MAX_CONCURRENT, coldConcurrent: COLD_CONCURRENT };
    return { upstreamId, bootId, cold: isCold, ...limits };
  }

  /** Runs a request over a connection to one boot id; false if the engine has rebooted since. */
  async run(connectionBootId: BootId, workMs: number): Promise<boolean> {
    if (connectionBootId !== this.bootId) return false;
    this.inFlight += 1;
    if (this.isCold) this.overshoot = Math.max(this.overshoot, this.inFlight - COLD_CONCURRENT);
    await sleep(workMs);
    if (connectionBootId !== this.bootId) return false;
    this.inFlight -= 1;
    this.completedSinceBoot += 1;
    this.totalCompleted += 1;
    return true;
  }
}

/** One VM's connection to the log, which can be paused or disconnected. */
class VmLogStream extends LogStream {
  constructor(
    private readonly log: MemoryLog,
    private readonly vmId: VmId,
    private readonly simulation: Pick<SlotSimulation, 'network' | 'cutFromLog'>,
  ) {
    super();
  }

  override async append(values: readonly unknown[]): Promise<LogOffset> {
    await this.waitForTransfer();
    const offset = await this.log.append(values);
    await this.waitForTransfer();
    return offset;
  }

  override async read(from: LogOffset, options?: LogReadOptions): Promise<LogPage> {
    await this.waitForTransfer();
    const page = await this.log.read(from, options);
    await this.waitForTransfer();
    return page;
  }

  private async waitForTransfer(): Promise<void> {
    await sleep(2);
    await this.simulation.network.waitWhilePaused(this.vmId);
    if (this.simulation.cutFromLog.has(this.vmId)) throw new LogError('log unreachable', 'unknown');
  }
}

/** Dependencies of a policy. */
export interface PolicyDependencies {
  readonly vmId: VmId;
  readonly index: number;
  readonly link: PeerTransport;
  readonly leaseStream: LogStream;
  readonly listLive: () => readonly VmId[];
  readonly listEntryVms: () => readonly VmId[];
  readonly signal: AbortSignal;
}

export interface Fault {
  readonly kind: 'reboot' | 'pause' | 'cutFromLog' | 'split' | 'logOutage';
  readonly index: number;
  readonly atMs: number;
  readonly durationMs: number;
}

export class SlotSimulation {
  readonly upstream = new FakeUpstream();

  readonly network = new MemoryNetwork({ delayMs: 2 });

  readonly cutFromLog = new Set<VmId>();

  readonly vmIds: readonly VmId[];

  private readonly log = new MemoryLog();

  private readonly stopController = new AbortController();

  private readonly random: () => number;

  private delayedTarget: SlotTarget;

  constructor(
    vmCount: number,
    private readonly createPolicy: (parts: PolicyDependencies) => SlotPolicy,
    private readonly getRequestIntervalMs: (index: number) => number = () => 400,
  ) {
    const generator = xorshift128plus(11);
    this.random = () => uniformFloat64(generator);
    this.vmIds = Array.from({ length: vmCount }, (_, index) => toId<VmId>(`entry-${index}`));
    this.delayedTarget = this.upstream.describe();
    setInterval(() => {
      const target = this.upstream.describe();
      setTimeout(() => {
        this.delayedTarget = target;
      }, LOAD_REPORT_DELAY_MS);
    }, 250);
    this.vmIds.forEach((vmId, index) => this.startVm(vmId, index));
  }

  applyFault({ kind, index, atMs, durationMs }: Fault): void {
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
    setTimeout(finish[kind], atMs + durationMs);
  }

  close(): void {
    this.stopController.abort();
  }

  private startVm(vmId: VmId, index: number): void {
    const link = this.network.join({ vmId, bootId: toId<BootId>(`${vmId}-1`) });
    const policy = this.createPolicy({
      vmId,
      index,
      link,
      leaseStream: new VmLogStream(this.log, vmId, this),
      listLive: () => [vmId, ...link.listConnectedPeers().map((peer) => peer.vmId)],
      listEntryVms: () => this.vmIds,
      signal: this.stopController.signal,
    });
    setInterval(() => {
      this.sendRequest(vmId, policy).catch(() => undefined);
    }, this.getRequestIntervalMs(index));
  }

  private async sendRequest(vmId: VmId, policy: SlotPolicy): Promise<void> {
    if (this.stopController.signal.aborted) return;
    const timeout = new AbortController();
    const timer = setTimeout(() => timeout.abort(), ACQUIRE_TIMEOUT_MS);
    const handle = await policy.acquire(this.delayedTarget, timeout.signal);
    clearTimeout(timer);
    await this.network.waitWhilePaused(vmId);
    await sleep(3);
    const connectionBootId = this.upstream.bootId;
    await this.network.waitWhilePaused(vmId);
    let isCompleted = false;
    if (handle.begin(connectionBootId)) {
      // A process can be paused even between the check and the send.
      await this.network.waitWhilePaused(vmId);
      isCompleted = await this.upstream.run(connectionBootId, 300 + this.random() * 2_500);
    }
    handle.release(isCompleted);
  }
}
