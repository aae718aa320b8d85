import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import type { UpstreamBoot } from '../../fleet/index.js';
import { listGossipTargets } from '../../fleet/__tests__/gossipTargets.js';
import { toId } from '../../ids.js';
import type { UpstreamId, VmId } from '../../ids.js';
import { createRandomGenerator } from '../../random.js';
import { AnnouncedRates, FleetRateLimits } from '../index.js';
import type { FleetRateLimitsOptions } from '../index.js';

/** Shape of a simulated fleet and of its load. */
export interface RateLimitFleetOptions {
  readonly seed: number;
  readonly vms: number;
  readonly upstreams: number;
  readonly requestsPerSecond: number;
  /** Returns the rate that an upstream announces at a time; undefined for none. */
  readonly announceRate: (upstream: number, atMs: number) => number | undefined;
  readonly createLimits?: (options: FleetRateLimitsOptions) => FleetRateLimits;
}

/** A request that reached an upstream. */
export interface Arrival {
  readonly vm: number;
  readonly atMs: number;
}

interface SimulatedVm {
  rates: AnnouncedRates;
  limits: FleetRateLimits;
  /** The VMs that accept callers, by its view. */
  serving: readonly VmId[];
  isUp: boolean;
  isFrozen: boolean;
  isCutOff: boolean;
}

const STABLE_MS = 3_000;
const RELAYED_FLEET_SIZE = 20;
const GOSSIP_INTERVAL_MS = 100;
const RELAYED_INTERVAL_MS = 200;
const MESSAGE_LOSS = 0.01;
const MAX_ROSTER_LAG_MS = 1_500;
const MAX_WAIT_MS = 25;
const MAX_PERMIT_REQUESTS = 6;
const SECOND_MS = 1_000;

const getBoot = (upstream: number): UpstreamBoot => ({
  upstreamId: toId<UpstreamId>(`engine-${upstream}`),
  startedAtMs: 1,
});

const makeVmId = (index: number): VmId => toId<VmId>(`vm-${index}`);

/** Simulates VMs that send requests to upstreams with rate limits, on the runtime's fake clock. */
export class RateLimitFleet {
  readonly arrivals: Arrival[][];

  refused = 0;

  private readonly vms: SimulatedVm[];

  /** Times in which a fault of a VM excuses its requests. */
  private readonly excuses: { vm: number; fromMs: number; untilMs: number }[] = [];

  private readonly random;

  constructor(private readonly options: RateLimitFleetOptions) {
    this.random = createRandomGenerator(options.seed);
    this.arrivals = Array.from({ length: options.upstreams }, () => []);
    const ids = Array.from({ length: options.vms }, (_, index) => makeVmId(index));
    this.vms = ids.map((_, index) => ({
      ...this.createMemory(index),
      serving: ids,
      isUp: true,
      isFrozen: false,
      isCutOff: false,
    }));
  }

  start(untilMs: number): void {
    const isRelayed = this.options.vms >= RELAYED_FLEET_SIZE;
    const intervalMs = isRelayed ? RELAYED_INTERVAL_MS : GOSSIP_INTERVAL_MS;
    this.vms.forEach((_, vm) => {
      const gossip = (): void => {
        this.sendGossip(vm);
        if (performance.now() < untilMs) setTimeout(gossip, intervalMs);
      };
      setTimeout(gossip, this.pickNumber(intervalMs));
    });
    let nextAtMs = 0;
    // The fake clock has whole milliseconds, in which several requests may come.
    const request = (): void => {
      const nowMs = performance.now();
      while (nextAtMs <= nowMs) {
        void this.handleRequest(this.pickNumber(this.options.vms));
        nextAtMs +=
          (-Math.log(1 - uniformFloat64(this.random)) * SECOND_MS) / this.options.requestsPerSecond;
      }
      if (nowMs < untilMs) setTimeout(request, nextAtMs - nowMs);
    };
    request();
  }

  /** Lists the arrivals at an upstream from VMs that no fault excuses. */
  listCounted(upstream: number): readonly number[] {
    return this.arrivals[upstream]!.filter(({ vm, atMs }) => !this.isExcused(vm, atMs))
      .map(({ atMs }) => atMs)
      .sort((left, right) => left - right);
  }

  /** Ends a VM and starts it again without its memory. */
  restart(vm: number, afterMs: number): void {
    const state = this.vms[vm]!;
    state.isUp = false;
    this.excuse(vm, afterMs);
    setTimeout(() => {
      Object.assign(state, this.createMemory(vm), { isUp: true });
    }, afterMs);
  }

  /** Stops a VM, which neither sends nor receives meanwhile. */
  freeze(vm: number, forMs: number): void {
    this.vms[vm]!.isFrozen = true;
    this.excuse(vm, forMs);
    setTimeout(() => {
      this.vms[vm]!.isFrozen = false;
    }, forMs);
  }

  /** Cuts a VM off from the other VMs, but not from the upstreams. */
  cutOff(vm: number, forMs: number): void {
    this.vms[vm]!.isCutOff = true;
    this.excuse(vm, forMs);
    setTimeout(() => {
      this.vms[vm]!.isCutOff = false;
    }, forMs);
  }

  /** Removes a VM from the lists of all VMs, or adds it; each VM learns it at another time. */
  list(vm: number, isServing: boolean): void {
    const changed = makeVmId(vm);
    this.vms.forEach((other) => {
      setTimeout(() => {
        const rest = other.serving.filter((vmId) => vmId !== changed);
        Object.assign(other, { serving: isServing ? [...rest, changed] : rest });
      }, this.pickNumber(MAX_ROSTER_LAG_MS));
    });
  }

  private createMemory(vm: number): Pick<SimulatedVm, 'rates' | 'limits'> {
    const rates = new AnnouncedRates();
    const options: FleetRateLimitsOptions = {
      self: makeVmId(vm),
      rates,
      listServing: () => this.vms?.[vm]?.serving ?? [],
      sendPermitRequest: (granter, request) => {
        const target = Number(granter.slice('vm-'.length));
        this.deliver(vm, target, (limits) => {
          const reply = limits.handlePermitRequest(makeVmId(vm), request);
          this.deliver(target, vm, (own) => own.handleReply(granter, reply));
        });
      },
    };
    return { rates, limits: this.options.createLimits?.(options) ?? new FleetRateLimits(options) };
  }

  private excuse(vm: number, forMs: number): void {
    const nowMs = performance.now();
    this.excuses.push({ vm, fromMs: nowMs, untilMs: nowMs + forMs + STABLE_MS });
  }

  private isExcused(vm: number, atMs: number): boolean {
    return this.excuses.some((one) => one.vm === vm && one.fromMs <= atMs && atMs < one.untilMs);
  }

  /** Delivers a datagram, which may be lost. */
  private deliver(from: number, to: number, handle: (limits: FleetRateLimits) => void): void {
    if (this.vms[from]!.isCutOff || uniformFloat64(this.random) < MESSAGE_LOSS) return;
    setTimeout(
      () => {
        const { isUp, isFrozen, isCutOff, limits } = this.vms[to]!;
        if (isUp && !isFrozen && !isCutOff) handle(limits);
      },
      1 + this.pickNumber(5),
    );
  }

  private sendGossip(vm: number): void {
    const { rates, limits, isUp, isFrozen } = this.vms[vm]!;
    if (!isUp || isFrozen) return;
    limits.refresh();
    const rows = rates.takeRows();
    if (rows.length === 0) return;
    listGossipTargets(vm, this.vms.length, this.vms.length >= RELAYED_FLEET_SIZE).forEach(
      (target) => {
        if (target !== vm) this.deliver(vm, target, () => this.vms[target]!.rates.merge(rows));
      },
    );
  }

  private async handleRequest(vm: number): Promise<void> {
    const { isUp, isFrozen, limits } = this.vms[vm]!;
    if (!isUp || isFrozen) return;
    for (let requests = 0; requests <= MAX_PERMIT_REQUESTS; requests += 1) {
      const usable = this.arrivals
        .map((_, index) => index)
        .filter((index) => limits.canAcquire(getBoot(index)));
      const upstream = usable[this.pickNumber(usable.length)];
      if (upstream === undefined || this.vms[vm]!.limits !== limits) break;
      const boot = getBoot(upstream);
      const hasPermit = limits.tryTake(boot);
      if (!hasPermit) await limits.acquire(boot, { maxWaitMs: MAX_WAIT_MS, priority: 0 });
      if (hasPermit || limits.tryTake(boot)) {
        this.send(vm, upstream);
        return;
      }
    }
    this.refused += 1;
  }

  private send(vm: number, upstream: number): void {
    const { rates } = this.vms[vm]!;
    setTimeout(
      () => {
        const atMs = performance.now();
        this.arrivals[upstream]!.push({ vm, atMs });
        const rate = this.options.announceRate(upstream, atMs);
        setTimeout(() => rates.record(getBoot(upstream), rate), 5 + this.pickNumber(40));
      },
      1 + this.pickNumber(2),
    );
  }

  /** Picks an integer from 0 to below a limit. */
  private pickNumber(limit: number): number {
    return uniformInt(this.random, 0, Math.max(0, Math.ceil(limit) - 1));
  }
}
