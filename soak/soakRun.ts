import { join } from 'node:path';
import { uniformInt } from 'pure-rand/distribution/uniformInt';
import { createRandomGenerator, sleep } from '@goldcrestscale/core';
import { findFreePorts } from '@goldcrestscale/runtime';
import { RETRY_LIMITS } from './checks/checkRepeats.js';
import type { DaemonCommand } from './daemonProcess.js';
import type { FaultPlan, PlanStep } from './planStep.js';
import type { SoakBounds, SoakHistory } from './history.js';
import { SoakCaller } from './soakCaller.js';
import { SoakPlatform } from './soakPlatform.js';
import { StallMeter } from './stallMeter.js';
import { SupervisedVm } from './supervisedVm.js';
import type { VmPorts } from './supervisedVm.js';

const ZONES = ['zone-a', 'zone-b', 'zone-c'];

const CALLERS_PER_VM = 5;

/** Callers of a crowd that come in one turn. */
const CROWD_BATCH = 50;

const CROWD_INTERVAL_MS = 10;

const WARM_UP_MS = 1_500;

const PORTS_PER_VM = 5;

const MS_PER_S = 1_000;

/** What all runs of a soak share. */
export interface SoakOptions {
  readonly command: DaemonCommand;
  readonly bounds: SoakBounds;
  /** Folder of settings files and of the output of the processes. */
  readonly folder: string;
}

const buildSettings = (
  vmId: string,
  zone: string,
  ports: VmPorts,
  logAddress: string,
  { shutdownMs, memoryMb }: SoakBounds,
): object => ({
  vmId,
  availabilityZone: zone,
  zones: Object.fromEntries(ZONES.map((name) => [name, 'region'])),
  firstStart: true,
  machine: { cores: 1, coreShare: 0.7, linkMbps: 1_000, memoryMb },
  listen: Object.fromEntries(
    Object.entries(ports).map(([name, port]) => [name, `127.0.0.1:${port}`]),
  ),
  log: { address: logAddress, leaseMs: 3_000 },
  bounds: {
    shutdownSeconds: shutdownMs / MS_PER_S,
    retryRatio: RETRY_LIMITS.ratio,
    retryAllowance: RETRY_LIMITS.allowance,
    retryWindowSeconds: RETRY_LIMITS.windowMs / MS_PER_S,
    coldOverrun: 1.5,
    coldSlack: 5,
    weightsInForceMs: 10_000,
    directoryTtlSeconds: 5,
  },
});

/** One seed: a fleet of real processes beside stand-ins of the platform. */
export class SoakRun {
  private readonly generator;

  private readonly platform: SoakPlatform;

  private readonly stallMeter = new StallMeter();

  private vms: readonly SupervisedVm[] = [];

  private callers: SoakCaller[] = [];

  constructor(
    private readonly plan: FaultPlan,
    private readonly options: SoakOptions,
  ) {
    this.generator = createRandomGenerator(plan.seed);
    this.platform = new SoakPlatform(ZONES, this.pickInt);
  }

  async run(): Promise<SoakHistory> {
    this.stallMeter.start();
    await this.start();
    const calls = this.callers.map((caller) => caller.run());
    await sleep(WARM_UP_MS);
    await this.runSteps();
    const calmFromMs = performance.now();
    await sleep(this.plan.quietMs);
    const endedAtMs = performance.now();
    await Promise.all(this.vms.map((vm) => vm.stop()));
    this.callers.forEach((caller) => caller.stop());
    await Promise.all(calls);
    this.platform.stop();
    this.stallMeter.stop();
    return this.collectHistory(calmFromMs, endedAtMs);
  }

  /** Ends all processes at once. */
  kill(): void {
    this.vms.forEach((vm) => vm.kill());
  }

  private readonly pickInt = (min: number, max: number): number =>
    uniformInt(this.generator, min, max);

  private async start(): Promise<void> {
    const { plan, options } = this;
    const logAddresses = await this.platform.start(plan.vms, plan.upstreams);
    const ports = await findFreePorts(plan.vms * PORTS_PER_VM);
    this.vms = logAddresses.map((logAddress, index) =>
      this.createVm(index, logAddress, ports.slice(index * PORTS_PER_VM)),
    );
    this.callers = Array.from(
      { length: CALLERS_PER_VM * plan.vms },
      (_value, index) =>
        new SoakCaller({ name: `c${index}`, vms: this.vms, pickInt: this.pickInt }),
    );
    this.vms.forEach((vm) => vm.start());
    const deadlineAtMs = performance.now() + options.bounds.readyMs;
    while (!this.vms.every(({ isReady }) => isReady) && performance.now() < deadlineAtMs) {
      await sleep(50);
    }
  }

  private createVm(index: number, logAddress: string, ports: readonly number[]): SupervisedVm {
    const { command, bounds, folder } = this.options;
    const [callers = 0, readiness = 0, directory = 0, mesh = 0, metrics = 0] = ports;
    const vmPorts = { callers, readiness, directory, mesh, metrics };
    const vmId = `vm-${index}`;
    const zone = ZONES[index % ZONES.length]!;
    return new SupervisedVm({
      vmId,
      ports: vmPorts,
      settings: buildSettings(vmId, zone, vmPorts, logAddress, bounds),
      folder: join(folder),
      command,
      shutdownMs: bounds.shutdownMs,
      stalls: this.stallMeter.stalls,
    });
  }

  private async runSteps(): Promise<void> {
    const startedAtMs = performance.now();
    const open: Promise<void>[] = [];
    for (const step of this.plan.steps) {
      await sleep(Math.max(0, startedAtMs + step.atMs - performance.now()));
      open.push(this.runStep(step));
    }
    await sleep(Math.max(0, startedAtMs + this.plan.durationMs - performance.now()));
    await Promise.all(open);
  }

  private async runStep(step: PlanStep): Promise<void> {
    const { platform } = this;
    switch (step.type) {
      case 'signal':
        this.vms[step.vm]?.sendSignal(step.signal);
        break;
      case 'freeze':
        this.vms[step.vm]?.pause(step.forMs);
        break;
      case 'restart':
        this.vms[step.vm]?.restart(step.signal, step);
        break;
      case 'settings':
        this.vms[step.vm]?.rewriteSettings(step.partMs, step.hasSignal);
        break;
      case 'logLink':
        await platform.harmLog(step.vm, step.fault, step.forMs);
        break;
      case 'upstreamLink':
        await platform.harmUpstreamLink(step.upstream, step.fault, step.forMs);
        break;
      case 'logAnswers':
        await platform.harmLogAnswers(step.answer, step.forMs);
        break;
      case 'noise':
        await this.vms[step.vm]?.receiveNoise(step.port, step.bytes);
        break;
      case 'unauthenticated':
        await this.vms[step.vm]?.receiveUnauthenticated(
          step.port,
          step.connections,
          step.bytes,
          step.forMs,
        );
        break;
      case 'crowd':
        await this.runCrowd(step.vm, step.callers);
        break;
      case 'answers':
        await platform.harmAnswers(step.upstream, step.fault, step.forMs);
        break;
      case 'crash':
        await platform.restartUpstream(step.upstream, step.forMs);
        break;
      case 'leave':
        await platform.drainUpstream(step.upstream, step.forMs);
        break;
      default:
        platform.publishConfiguration();
    }
  }

  private async runCrowd(vm: number, count: number): Promise<void> {
    const vms = this.vms.slice(vm, vm + 1);
    const { pickInt } = this;
    const calls: Promise<void>[] = [];
    while (calls.length < count) {
      const name = `x${this.callers.length}`;
      const caller = new SoakCaller({ name, vms, pickInt });
      this.callers.push(caller);
      calls.push(caller.callOnce());
      // The soak itself must not stand still.
      if (calls.length % CROWD_BATCH === 0) await sleep(CROWD_INTERVAL_MS);
    }
    await Promise.all(calls);
  }

  private collectHistory(calmFromMs: number, endedAtMs: number): SoakHistory {
    const { platform, vms, callers } = this;
    return {
      requests: callers.flatMap(({ requests }) => requests),
      runs: platform.runs,
      lives: vms.flatMap(({ lives }) => lives),
      impairments: [...platform.impairments, ...vms.flatMap(({ impairments }) => impairments)],
      strays: callers.flatMap(({ strays }) => strays),
      stalls: this.stallMeter.stalls,
      configurationsAtMs: platform.configurationsAtMs,
      leaves: platform.leaves,
      calmFromMs,
      endedAtMs,
    };
  }
}
