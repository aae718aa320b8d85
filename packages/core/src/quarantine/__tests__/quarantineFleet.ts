import { uniformFloat64 } from 'pure-rand/distribution/uniformFloat64';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { listGossipTargets } from '../../fleet/__tests__/gossipTargets.js';
import { toId } from '../../ids.js';
import type { ClientAccountId, ModelId, PromptPartId, UpstreamId } from '../../ids.js';
import { createRandomGenerator } from '../../random.js';
import { MIN_SURVIVAL_EVENTS } from '../constants.js';
import { EventQueue } from './eventQueue.js';
import { CrashQuarantine } from '../crashQuarantine.js';
import type { PromptOfAccount } from '../crashPattern.js';

/** Shape of a simulated fleet and of its load. */
export interface QuarantineFleetOptions {
  readonly seed: number;
  readonly vms: number;
  readonly engines: number;
  readonly soundPerSecond: number;
  readonly poisonPerSecond: number;
  /** Whether VMs report to each other through relays, four groups with two relays each. */
  readonly isRelayed: boolean;
  readonly createQuarantine?: () => CrashQuarantine;
}

/** What a simulation counted. */
export interface QuarantineFleetCounts {
  /** Times at which prompts with the crashing part ended engines. */
  readonly poisonCrashTimesMs: readonly number[];
  /** Times at which such prompts were sent, by VMs that reach the others. */
  readonly poisonSendTimesMs: readonly number[];
  readonly soundSent: number;
  readonly soundRefused: number;
}

interface SimulatedRequest {
  readonly vm: number;
  readonly prompt: PromptOfAccount;
  events: number;
}

interface SimulatedEngine {
  readonly upstreamId: UpstreamId;
  boot: number;
  isUp: boolean;
  open: Set<SimulatedRequest>;
}

const MODEL = toId<ModelId>('model');

const ACCOUNTS = 3;
const SYSTEM_PARTS = 1;
const SESSIONS = 200;
const GOSSIP_INTERVAL_MS = 100;
const RELAYED_INTERVAL_MS = 200;
const MESSAGE_LOSS = 0.01;
const EVENT_INTERVAL_MS = 30;
const SHORT_ANSWER_EVENTS = 3;
const LONG_ANSWER_EVENTS = 40;
const SECOND_MS = 1_000;

/**
 * Simulates VMs that send prompts to engines. A prompt with the crashing part ends its engine when
 * the answer begins; each VM sees only its own streams break.
 */
export class QuarantineFleet {
  /** Its clock must be the runtime's while the simulation runs. */
  readonly events = new EventQueue();

  readonly quarantines: readonly CrashQuarantine[];

  private readonly random;

  private readonly engines: SimulatedEngine[];

  private readonly poisonCrashTimesMs: number[] = [];

  private readonly poisonSendTimesMs: number[] = [];

  private readonly cutOff = new Set<number>();

  private soundSent = 0;

  private soundRefused = 0;

  private requests = 0;

  constructor(private readonly options: QuarantineFleetOptions) {
    this.random = createRandomGenerator(options.seed);
    const create = options.createQuarantine ?? (() => new CrashQuarantine());
    this.quarantines = Array.from({ length: options.vms }, create);
    this.engines = Array.from({ length: options.engines }, (_, index) => ({
      upstreamId: toId<UpstreamId>(`engine-${index}`),
      boot: 0,
      isUp: true,
      open: new Set<SimulatedRequest>(),
    }));
  }

  get counts(): QuarantineFleetCounts {
    const { poisonCrashTimesMs, poisonSendTimesMs, soundSent, soundRefused } = this;
    return { poisonCrashTimesMs, poisonSendTimesMs, soundSent, soundRefused };
  }

  /** Schedules the load and the messages of the VMs. */
  start(durationMs: number): void {
    const { soundPerSecond, poisonPerSecond, isRelayed } = this.options;
    this.repeatRandomly(soundPerSecond, durationMs, () => this.sendSound());
    if (poisonPerSecond > 0)
      this.repeatRandomly(poisonPerSecond, durationMs, () => this.sendPoison());
    const intervalMs = isRelayed ? RELAYED_INTERVAL_MS : GOSSIP_INTERVAL_MS;
    this.quarantines.forEach((_, vm) => {
      const report = (): void => {
        this.reportToOthers(vm);
        if (this.events.nowMs < durationMs) this.events.schedule(intervalMs, report);
      };
      this.events.schedule(this.pickNumber(intervalMs), report);
    });
  }

  /** Ends a fraction of the engines within some milliseconds, for a reason other than a prompt. */
  killEngines(fraction: number, withinMs: number): void {
    this.engines.forEach((engine) => {
      if (uniformFloat64(this.random) >= fraction) return;
      this.events.schedule(this.pickNumber(withinMs), () => this.end(engine));
    });
  }

  /** Ends the engines one after the other. */
  killInTurn(intervalMs: number): void {
    this.engines.forEach((engine, index) => {
      this.events.schedule(index * intervalMs, () => this.end(engine));
    });
  }

  /** Cuts a VM off from the other VMs, but not from the engines. */
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

  private sendSound(): void {
    const session = this.pickNumber(SESSIONS);
    const prompt = this.makePrompt(session % SYSTEM_PARTS, `session-${session}`);
    const vm = this.pickNumber(this.options.vms);
    this.soundSent += 1;
    if (this.quarantines[vm]!.findRefused(prompt)) this.soundRefused += 1;
    else this.send({ vm, prompt, events: 0 }, false);
  }

  private sendPoison(): void {
    const prompt = this.makePrompt(this.pickNumber(SYSTEM_PARTS), 'poison');
    const vm = this.pickNumber(this.options.vms);
    if (this.quarantines[vm]!.findRefused(prompt)) return;
    if (!this.cutOff.has(vm)) this.poisonSendTimesMs.push(this.events.nowMs);
    this.send({ vm, prompt, events: 0 }, true);
  }

  private makePrompt(systemPart: number, sharedPart: string): PromptOfAccount {
    this.requests += 1;
    const parts = [`system-${systemPart}`, sharedPart, `own-${this.requests}`];
    return {
      prompt: {
        model: MODEL,
        inputTokens: 10,
        maxOutputTokens: 10,
        parts: parts.map((id) => ({ id: toId<PromptPartId>(id), tokens: 1 })),
      },
      account: toId<ClientAccountId>(`account-${this.pickNumber(ACCOUNTS)}`),
    };
  }

  private send(request: SimulatedRequest, isPoison: boolean): void {
    const up = this.engines.filter(({ isUp }) => isUp);
    const engine = up[this.pickNumber(up.length)];
    if (!engine) return;
    engine.open.add(request);
    const length = this.pickNumber(2) === 0 ? SHORT_ANSWER_EVENTS : LONG_ANSWER_EVENTS;
    this.events.schedule(50 + this.pickNumber(250), () => {
      if (isPoison) this.beginPoison(engine, request);
      else this.emitEvent(engine, request, length);
    });
  }

  private beginPoison(engine: SimulatedEngine, request: SimulatedRequest): void {
    if (!engine.open.has(request)) return;
    Object.assign(request, { events: 1 });
    this.events.schedule(this.pickNumber(100), () => {
      if (!engine.open.has(request)) return;
      this.poisonCrashTimesMs.push(this.events.nowMs);
      this.end(engine);
    });
  }

  private emitEvent(engine: SimulatedEngine, request: SimulatedRequest, length: number): void {
    if (!engine.open.has(request)) return;
    Object.assign(request, { events: request.events + 1 });
    const isOver = request.events === length;
    if (isOver || request.events === MIN_SURVIVAL_EVENTS) {
      this.quarantines[request.vm]!.recordSurvival(request.prompt);
    }
    if (isOver) engine.open.delete(request);
    else {
      this.events.schedule(EVENT_INTERVAL_MS, () => this.emitEvent(engine, request, length));
    }
  }

  private end(engine: SimulatedEngine): void {
    if (!engine.isUp) return;
    const boot = { upstreamId: engine.upstreamId, startedAtMs: engine.boot };
    const lost = engine.open;
    Object.assign(engine, { isUp: false, open: new Set(), boot: engine.boot + 1 });
    lost.forEach(({ vm, prompt, events }) => {
      if (events > 0 && events < MIN_SURVIVAL_EVENTS) {
        this.events.schedule(this.pickNumber(5), () =>
          this.quarantines[vm]!.recordCrash(prompt, boot),
        );
      }
    });
    this.events.schedule(3_000 + this.pickNumber(3_000), () => {
      Object.assign(engine, { isUp: true });
    });
  }

  private reportToOthers(vm: number): void {
    const rows = this.quarantines[vm]!.takeRows();
    if (rows.length === 0 || this.cutOff.has(vm)) return;
    listGossipTargets(vm, this.quarantines.length, this.options.isRelayed).forEach((target) => {
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
