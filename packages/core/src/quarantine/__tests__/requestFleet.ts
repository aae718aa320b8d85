import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { listGossipTargets } from '../../fleet/__tests__/gossipTargets.js';
import { toId } from '../../ids.js';
import { computeRendezvousRank } from '../../membership/rendezvous.js';
import type { ClientAccountId, UpstreamId } from '../../ids.js';
import { createRandomGenerator } from '../../random.js';
import type { WholeRequest } from '../crashPattern.js';
import { CrashQuarantine } from '../crashQuarantine.js';
import type { RequestTrial } from '../requestTrials.js';
import { EventQueue } from './eventQueue.js';

/** Shape of a simulated fleet and of its load. */
export interface RequestFleetOptions {
  readonly seed: number;
  readonly vms: number;
  readonly upstreams: number;
  readonly soundPerSecond: number;
  /** Requests a second that crash each upstream which runs them, all the same. */
  readonly poisonPerSecond: number;
  /** Longest time that a sound request runs, in milliseconds. */
  readonly maxRunMs: number;
  /** Whether VMs report to each other through relays, four groups with two relays each. */
  readonly isRelayed: boolean;
  readonly createQuarantine?: () => CrashQuarantine;
}

/** What a simulation counted. */
export interface RequestFleetCounts {
  /** Times at which upstreams ended under the crashing request. */
  readonly poisonEndTimesMs: readonly number[];
  /** Times at which it was sent, by VMs that reach the others. */
  readonly poisonSendTimesMs: readonly number[];
  readonly soundSent: number;
  readonly soundRefused: number;
  readonly soundHeld: number;
}

interface SimulatedCall {
  readonly vm: number;
  readonly request: WholeRequest;
  readonly isPoison: boolean;
  /** Times that the client may still send it after a failure. */
  readonly repeats: number;
  tries: number;
  /** Defined while it is sent as a trial. */
  trial?: RequestTrial | undefined;
}

interface SimulatedUpstream {
  readonly upstreamId: UpstreamId;
  boot: number;
  isUp: boolean;
  open: Set<SimulatedCall>;
}

const SOUND_REQUESTS = 60;
const MAX_TRIES = 2;
const MAX_REPEATS = 3;
const REPEAT_DELAY_MS = 30;
const HOLD_RETURN_MS = 500;
const GOSSIP_INTERVAL_MS = 100;
const RELAYED_INTERVAL_MS = 200;
const CRASH_REPORT_DELAY_MS = 5;
const CRASH_REPORT_INTERVAL_MS = 300;
const MESSAGE_LOSS = 0.01;
const SECOND_MS = 1_000;

const makeRequest = (name: string, account: string): WholeRequest => ({
  method: 'POST',
  host: 'site.example',
  target: '/lookup?id=1',
  body: Buffer.from(name),
  account: toId<ClientAccountId>(account),
});

const POISON = makeRequest('poison', 'account-0');

/**
 * Simulates VMs that send requests to upstreams, and clients that send a lost request again at once,
 * at any VM. The crashing request ends its upstream, and with it all that runs there.
 */
export class RequestFleet {
  /** Its clock must be the runtime's while the simulation runs. */
  readonly events = new EventQueue();

  readonly quarantines: readonly CrashQuarantine[];

  private readonly random;

  private readonly upstreams: SimulatedUpstream[];

  private readonly poisonEndTimesMs: number[] = [];

  private readonly poisonSendTimesMs: number[] = [];

  private readonly cutOff = new Set<number>();

  /** VMs that have just reported crashes to all others. */
  private readonly reporting = new Set<number>();

  private soundSent = 0;

  private soundRefused = 0;

  private soundHeld = 0;

  constructor(private readonly options: RequestFleetOptions) {
    this.random = createRandomGenerator(options.seed);
    const vmIds = Array.from({ length: options.vms }, (_, vm) => `vm-${vm}`);
    this.quarantines = vmIds.map(
      (vmId) =>
        options.createQuarantine?.() ??
        new CrashQuarantine(undefined, (digest) => computeRendezvousRank(digest, vmIds, vmId)),
    );
    this.upstreams = Array.from({ length: options.upstreams }, (_, index) => ({
      upstreamId: toId<UpstreamId>(`upstream-${index}`),
      boot: 0,
      isUp: true,
      open: new Set<SimulatedCall>(),
    }));
  }

  get counts(): RequestFleetCounts {
    const { poisonEndTimesMs, poisonSendTimesMs, soundSent, soundRefused, soundHeld } = this;
    return { poisonEndTimesMs, poisonSendTimesMs, soundSent, soundRefused, soundHeld };
  }

  start(durationMs: number): void {
    const { soundPerSecond, poisonPerSecond, isRelayed, vms } = this.options;
    this.repeatRandomly(soundPerSecond, durationMs, () => {
      const account = `account-${this.pickNumber(3)}`;
      const request = makeRequest(`sound-${this.pickNumber(SOUND_REQUESTS)}`, account);
      this.receive(request, false, MAX_REPEATS);
    });
    if (poisonPerSecond > 0) {
      this.repeatRandomly(poisonPerSecond, durationMs, () =>
        this.receive(POISON, true, MAX_REPEATS),
      );
    }
    const intervalMs = isRelayed ? RELAYED_INTERVAL_MS : GOSSIP_INTERVAL_MS;
    for (let vm = 0; vm < vms; vm += 1) {
      const report = (): void => {
        this.sendRows(vm, listGossipTargets(vm, this.options.vms, this.options.isRelayed));
        if (this.events.nowMs < durationMs) this.events.schedule(intervalMs, report);
      };
      this.events.schedule(this.pickNumber(intervalMs), report);
    }
  }

  /** Ends a fraction of the upstreams within some milliseconds, for a reason other than a request. */
  killUpstreams(fraction: number, withinMs: number): void {
    this.upstreams.forEach((upstream) => {
      if (uniformFloat64(this.random) >= fraction) return;
      this.events.schedule(this.pickNumber(withinMs), () => this.end(upstream));
    });
  }

  /** Ends the upstreams one after the other. */
  killInTurn(intervalMs: number): void {
    this.upstreams.forEach((upstream, index) => {
      this.events.schedule(index * intervalMs, () => this.end(upstream));
    });
  }

  /** Resets a fraction of the connections, while the upstreams live on. */
  resetConnections(fraction: number): void {
    this.upstreams.forEach(({ open }) =>
      open.forEach((call) => {
        if (uniformFloat64(this.random) >= fraction) return;
        open.delete(call);
        call.trial?.finish();
        this.retry(call);
      }),
    );
  }

  /** Cuts a VM off from the other VMs, but not from the upstreams. */
  cutOffVm(vm: number, forMs: number): void {
    this.cutOff.add(vm);
    this.events.schedule(forMs, () => this.cutOff.delete(vm));
  }

  private repeatRandomly(perSecond: number, untilMs: number, run: () => void): void {
    const next = (): void => {
      run();
      const gapMs = (-Math.log(1 - uniformFloat64(this.random)) * SECOND_MS) / perSecond;
      if (this.events.nowMs < untilMs) this.events.schedule(gapMs, next);
    };
    this.events.schedule(this.pickNumber(SECOND_MS / perSecond), next);
  }

  private receive(request: WholeRequest, isPoison: boolean, repeats: number): void {
    const vm = this.pickNumber(this.options.vms);
    if (!isPoison) this.soundSent += 1;
    this.tryOnce({ vm, request, isPoison, repeats, tries: 0 });
  }

  private tryOnce(call: SimulatedCall): void {
    const quarantine = this.quarantines[call.vm]!;
    if (quarantine.findRefused(call.request)) {
      if (!call.isPoison && call.tries === 0) this.soundRefused += 1;
      return;
    }
    if (quarantine.computeHoldMs(call.request) > 0) {
      if (!call.isPoison) this.soundHeld += 1;
      if (call.tries === 0) this.returnLater(call, HOLD_RETURN_MS);
      return;
    }
    const up = this.upstreams.filter(({ isUp }) => isUp);
    const upstream = up[this.pickNumber(up.length)];
    if (!upstream) {
      this.returnLater(call, HOLD_RETURN_MS);
      return;
    }
    if (call.isPoison && !this.cutOff.has(call.vm)) this.poisonSendTimesMs.push(this.events.nowMs);
    const trial = quarantine.beginTrial(call.request);
    if (trial) this.reportCrashes(call.vm);
    Object.assign(call, { trial });
    upstream.open.add(call);
    const runMs = call.isPoison
      ? 40 + this.pickNumber(70)
      : 5 + this.pickNumber(this.options.maxRunMs);
    this.events.schedule(runMs, () => this.finish(upstream, call));
  }

  private finish(upstream: SimulatedUpstream, call: SimulatedCall): void {
    if (!upstream.open.has(call)) return;
    if (call.isPoison) {
      this.poisonEndTimesMs.push(this.events.nowMs);
      this.end(upstream);
      return;
    }
    upstream.open.delete(call);
    call.trial?.finish();
    this.quarantines[call.vm]!.recordSurvival(call.request);
  }

  private end(upstream: SimulatedUpstream): void {
    if (!upstream.isUp) return;
    const boot = { upstreamId: upstream.upstreamId, startedAtMs: upstream.boot };
    const lost = upstream.open;
    Object.assign(upstream, { isUp: false, open: new Set(), boot: upstream.boot + 1 });
    lost.forEach((call) => {
      const delayMs = 5 + this.pickNumber(15);
      this.events.schedule(delayMs, () => {
        call.trial?.finish();
        this.quarantines[call.vm]!.recordCrash(call.request, boot, delayMs);
        this.reportCrashes(call.vm);
      });
      this.events.schedule(1, () => this.retry(call));
    });
    this.events.schedule(3_000 + this.pickNumber(3_000), () => {
      Object.assign(upstream, { isUp: true });
    });
  }

  private retry(call: SimulatedCall): void {
    const tries = call.tries + 1;
    const isSuspect = this.quarantines[call.vm]!.hasSuspect(call.request);
    if (tries < MAX_TRIES && !isSuspect) this.tryOnce({ ...call, tries });
    else this.returnLater(call, REPEAT_DELAY_MS);
  }

  private returnLater({ request, isPoison, repeats }: SimulatedCall, delayMs: number): void {
    if (repeats === 0) return;
    this.events.schedule(delayMs, () => this.receive(request, isPoison, repeats - 1));
  }

  /** Reports crashes to all VMs without the relays. */
  private reportCrashes(vm: number): void {
    if (this.reporting.has(vm)) return;
    this.reporting.add(vm);
    this.events.schedule(CRASH_REPORT_DELAY_MS, () => {
      this.sendRows(vm, this.quarantines.keys());
    });
    this.events.schedule(CRASH_REPORT_INTERVAL_MS, () => {
      this.reporting.delete(vm);
      this.sendRows(vm, this.quarantines.keys());
    });
  }

  private sendRows(vm: number, targets: Iterable<number>): void {
    const rows = this.quarantines[vm]!.takeRows();
    if (rows.length === 0 || this.cutOff.has(vm)) return;
    [...targets].forEach((target) => {
      if (target === vm || uniformFloat64(this.random) < MESSAGE_LOSS) return;
      this.events.schedule(2 + this.pickNumber(8), () => {
        if (!this.cutOff.has(target)) this.quarantines[target]!.merge(rows);
      });
    });
  }

  /** Picks an integer from 0 to below a limit. */
  private pickNumber(limit: number): number {
    return uniformInt(this.random, 0, Math.max(0, Math.ceil(limit) - 1));
  }
}
