import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import { vi } from 'vitest';
import { RunTimes } from '../../fleet/index.js';
import { toId } from '../../ids.js';
import type { AvailabilityZoneId, ServiceName, UpstreamId } from '../../ids.js';
import { createRandomGenerator } from '../../random.js';
import { RejectionLimits } from '../rejectionLimits.js';
import type { LimitedUpstream, RejectionLimitsOptions } from '../rejectionLimits.js';

const SERVICE = toId<ServiceName>('service');

/** Time of a message between a VM and an upstream, in milliseconds. */
const TRANSIT_MS = 1;

/** Window in which an upstream counts the requests that it rejects, in milliseconds. */
const REJECTION_WINDOW_MS = 1_000;

/** Time for which an upstream that fell is away, in milliseconds. */
const FALLEN_MS = 3_000;

/** Upstreams that one request is sent to at most. */
const MAX_SENDS = 3;

/** Interval at which a request that waits for room looks for it, in milliseconds. */
const RETRY_MS = 10;

const DURATION_MS = 12_000;

const BURST_START_MS = 4_000;

const BURST_END_MS = 8_000;

const SILENCE_INTERVAL_MS = 2_000;

const SILENCE_MS = 1_000;

/** A fleet, its upstreams and the load. */
export interface RejectingFleetOptions {
  readonly seed: number;
  readonly vms: number;
  readonly upstreams: number;
  readonly slots: number;
  /** Requests that wait at an upstream at most. */
  readonly queue: number;
  readonly rejectionsPerSecond: number;
  readonly serviceMs: number;
  /** Requests per second, relative to what all slots serve. */
  readonly load: number;
  /** Factor of the load from second 4 to second 8. */
  readonly burst: number;
  /** Whether upstreams fall silent for a second, one after the other. */
  readonly silent: boolean;
  readonly gossipMs: number;
  /** Time for which a request waits at its VM for room. */
  readonly maxWaitMs: number;
  readonly createLimits?: (options: RejectionLimitsOptions) => RejectionLimits;
}

/** What callers and upstreams saw. */
export interface RejectingFleetResult {
  readonly requests: number;
  readonly served: number;
  readonly falls: number;
}

/** Runs actions at simulated times. */
class Agenda {
  private readonly startMs = performance.now();

  private readonly due = new Map<number, (() => void)[]>();

  get nowMs(): number {
    return performance.now() - this.startMs;
  }

  add(delayMs: number, run: () => void): void {
    const atMs = this.nowMs + delayMs;
    const others = this.due.get(atMs);
    if (others) others.push(run);
    else this.due.set(atMs, [run]);
  }

  advance(): void {
    vi.advanceTimersByTime(1);
    const due = this.due.get(this.nowMs) ?? [];
    this.due.delete(this.nowMs);
    due.forEach((run) => run());
  }
}

/** How a request ended at an upstream. */
type RequestEnd = 'served' | 'rejected' | 'lost';

type EndRequest = (end: RequestEnd) => void;

class SimulatedUpstream {
  falls = 0;

  private running: { readonly endsAtMs: number; readonly end: EndRequest }[] = [];

  private waiting: EndRequest[] = [];

  /** Requests that have arrived while it was silent. */
  private unread: EndRequest[] = [];

  private rejectedAtMs: number[] = [];

  private silentUntilMs = -Infinity;

  private backAtMs = -Infinity;

  constructor(
    private readonly options: RejectingFleetOptions,
    private readonly agenda: Agenda,
    private readonly random: RandomGenerator,
  ) {}

  get isAway(): boolean {
    return this.agenda.nowMs < this.backAtMs;
  }

  pause(): void {
    this.silentUntilMs = this.agenda.nowMs + SILENCE_MS;
  }

  accept(end: EndRequest): void {
    if (this.isAway) end('lost');
    else if (this.agenda.nowMs < this.silentUntilMs) this.unread.push(end);
    else this.take(end);
  }

  advance(): void {
    const { nowMs } = this.agenda;
    if (nowMs < this.silentUntilMs) return;
    const ended = this.running.filter(({ endsAtMs }) => endsAtMs <= nowMs);
    this.running = this.running.filter(({ endsAtMs }) => endsAtMs > nowMs);
    ended.forEach(({ end }) => end('served'));
    while (this.waiting.length > 0 && this.running.length < this.options.slots) {
      this.begin(this.waiting.shift()!);
    }
    this.unread.splice(0).forEach((end) => this.accept(end));
  }

  private take(end: EndRequest): void {
    if (this.running.length < this.options.slots) this.begin(end);
    else if (this.waiting.length < this.options.queue) this.waiting.push(end);
    else this.refuse(end);
  }

  private begin(end: EndRequest): void {
    const factor = 0.5 + uniformFloat64(this.random);
    const endsAtMs = this.agenda.nowMs + this.options.serviceMs * factor;
    this.running.push({ endsAtMs, end });
  }

  private refuse(end: EndRequest): void {
    const oldestMs = this.agenda.nowMs - REJECTION_WINDOW_MS;
    this.rejectedAtMs = this.rejectedAtMs.filter((atMs) => atMs > oldestMs);
    this.rejectedAtMs.push(this.agenda.nowMs);
    end('rejected');
    if (this.rejectedAtMs.length > this.options.rejectionsPerSecond) this.crash();
  }

  private crash(): void {
    this.falls += 1;
    this.backAtMs = this.agenda.nowMs + FALLEN_MS;
    const lost = [...this.running.map(({ end }) => end), ...this.waiting, ...this.unread];
    this.running = [];
    this.waiting = [];
    this.unread = [];
    this.rejectedAtMs = [];
    lost.forEach((end) => end('lost'));
  }
}

/** An upstream as one VM knows it. */
class UpstreamView implements LimitedUpstream {
  inFlight = 0;

  peersInFlight = 0;

  readonly upstreamId: UpstreamId;

  readonly registered: LimitedUpstream['registered'];

  constructor(index: number, slots: number) {
    this.upstreamId = toId<UpstreamId>(`up-${index}`);
    this.registered = {
      upstreamId: this.upstreamId,
      service: SERVICE,
      address: '127.0.0.1:1',
      availabilityZone: toId<AvailabilityZoneId>('z1'),
      slots,
      draining: false,
      coldRemainingMs: 0,
      weights: [],
      heartbeat: 1,
      startedAtMs: 1,
    };
  }

  estimateLoad(): number {
    return this.inFlight + this.peersInFlight;
  }

  recordPeers(allInFlight: number): void {
    this.peersInFlight = allInFlight - this.inFlight;
  }
}

class SimulatedVm {
  readonly views: readonly UpstreamView[];

  private readonly runTimes = new RunTimes();

  private readonly limits: RejectionLimits;

  constructor(
    private readonly options: RejectingFleetOptions,
    private readonly agenda: Agenda,
    private readonly upstreams: readonly SimulatedUpstream[],
    private readonly random: RandomGenerator,
    private readonly onServed: () => void,
  ) {
    this.views = upstreams.map((_upstream, index) => new UpstreamView(index, options.slots));
    const { createLimits = (all: RejectionLimitsOptions) => new RejectionLimits(all) } = options;
    this.limits = createLimits({
      countSenders: () => options.vms,
      findMeanRunMs: (service) => this.runTimes.findMeanMs(service),
    });
    this.limits.record(SERVICE, options.rejectionsPerSecond);
  }

  /** Sends a request to an upstream with room, or lets it wait for room. */
  send(cameAtMs: number, tried: ReadonlySet<number> = new Set()): void {
    if (tried.size >= MAX_SENDS) return;
    const index = this.choose(tried);
    if (index === undefined) {
      const waitedMs = this.agenda.nowMs - cameAtMs;
      if (waitedMs < this.options.maxWaitMs) {
        this.agenda.add(RETRY_MS, () => this.send(cameAtMs, tried));
      }
      return;
    }
    const view = this.views[index]!;
    view.inFlight += 1;
    this.limits.recordSend(view);
    const sentAtMs = this.agenda.nowMs;
    const finish = (end: RequestEnd): void => {
      view.inFlight -= 1;
      if (end === 'served') this.recordAnswer(sentAtMs);
      else {
        if (end === 'rejected') this.limits.recordRejection(view);
        this.send(cameAtMs, new Set([...tried, index]));
      }
    };
    this.agenda.add(TRANSIT_MS, () =>
      this.upstreams[index]!.accept((end) => this.agenda.add(TRANSIT_MS, () => finish(end))),
    );
  }

  private recordAnswer(sentAtMs: number): void {
    this.onServed();
    this.runTimes.record(SERVICE, this.agenda.nowMs - sentAtMs);
    this.limits.record(SERVICE, this.options.rejectionsPerSecond);
  }

  private choose(tried: ReadonlySet<number>): number | undefined {
    const candidates = this.views.flatMap((view, index) => {
      if (tried.has(index) || this.upstreams[index]!.isAway) return [];
      if (this.limits.isPaused(view) || !this.limits.hasRoom(view)) return [];
      const load = this.limits.isCrowded(view) ? 0 : view.estimateLoad();
      return { index, load: load + uniformFloat64(this.random) };
    });
    return candidates.sort((left, right) => left.load - right.load)[0]?.index;
  }
}

/** Plays VMs that share upstreams which fail if they have to reject too much; needs the paused clock. */
export const playRejectingFleet = (options: RejectingFleetOptions): RejectingFleetResult => {
  const random = createRandomGenerator(options.seed);
  const agenda = new Agenda();
  let served = 0;
  let requests = 0;
  const upstreams = Array.from(
    { length: options.upstreams },
    () => new SimulatedUpstream(options, agenda, random),
  );
  const countServed = (): void => {
    served += 1;
  };
  const vms = Array.from(
    { length: options.vms },
    () => new SimulatedVm(options, agenda, upstreams, random, countServed),
  );
  const shareLoads = (): void =>
    upstreams.forEach((_upstream, index) => {
      const views = vms.map((vm) => vm.views[index]!);
      const total = views.reduce((sum, { inFlight }) => sum + inFlight, 0);
      views.forEach((view) => view.recordPeers(total));
    });
  const requestsPerMs = (options.load * options.upstreams * options.slots) / options.serviceMs;
  let owed = 0;
  for (let nowMs = 0; nowMs < DURATION_MS; nowMs += 1) {
    const isBurst = nowMs >= BURST_START_MS && nowMs < BURST_END_MS;
    owed += requestsPerMs * (isBurst ? options.burst : 1) * 2 * uniformFloat64(random);
    for (; owed >= 1; owed -= 1) {
      requests += 1;
      vms[Math.floor(uniformFloat64(random) * vms.length)]!.send(nowMs);
    }
    const silence = Math.floor(nowMs / SILENCE_INTERVAL_MS);
    if (options.silent && nowMs % SILENCE_INTERVAL_MS === SILENCE_MS) {
      upstreams[silence % upstreams.length]!.pause();
    }
    if (nowMs % options.gossipMs === 0) shareLoads();
    agenda.advance();
    upstreams.forEach((upstream) => upstream.advance());
  }
  return {
    requests,
    served,
    falls: upstreams.reduce((sum, upstream) => sum + upstream.falls, 0),
  };
};
