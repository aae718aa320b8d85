import { sleep } from '@goldcrestscale/core';
import {
  buildDeploymentRecord,
  buildUpstreamRecord,
  FaultyProxy,
  sendAnswer,
  StandInLog,
  StandInService,
  streamEndlessly,
} from '@goldcrestscale/adapter/standin/index.js';
import type {
  AnswerFault,
  EndlessBytes,
  LinkFault,
  ServiceWork,
  StandInAnswer,
  UpstreamRun,
} from '@goldcrestscale/adapter/standin/index.js';
import type { ImpairmentRecord } from './history.js';

export const HOST = 'soak.example';

export const MODEL = 'model-s';

const HEARTBEAT_MS = 1_200;

const SLOTS = 64;

/** Time for which an upstream serves on after it has reported that it leaves. */
const LEAVE_MS = 3_500;

/** Percentage of the answers that a harmed upstream gives wrongly. */
const FAULT_PERCENT = 30;

interface SoakUpstream {
  readonly index: number;
  readonly proxy: FaultyProxy;
  readonly address: string;
  readonly port: number;
  service: StandInService;
  generation: number;
  isLeaving: boolean;
  isRunning: boolean;
  fault: AnswerFault;
  startedAtMs: number;
}

/** Stand-ins of the platform: its log and the upstreams, each behind proxies. */
export class SoakPlatform {
  readonly impairments: ImpairmentRecord[] = [];

  readonly configurationsAtMs: number[] = [];

  readonly leaves: { readonly upstreamId: string; readonly atMs: number }[] = [];

  private readonly log = new StandInLog();

  private readonly services: StandInService[] = [];

  private readonly logProxies: FaultyProxy[] = [];

  private upstreams: SoakUpstream[] = [];

  private heartbeat = 0;

  private version = 0;

  private isStopped = false;

  private heartbeatTimer: NodeJS.Timeout | undefined;

  constructor(
    private readonly zones: readonly string[],
    private readonly pickInt: (min: number, max: number) => number,
  ) {}

  get runs(): readonly UpstreamRun[] {
    return this.services.flatMap(({ runs }) => runs);
  }

  /** @returns the addresses at which the VMs reach the log */
  async start(vms: number, upstreams: number): Promise<readonly string[]> {
    await this.log.start();
    const indexes = Array.from({ length: upstreams }, (_value, index) => index);
    this.upstreams = await Promise.all(indexes.map((index) => this.startUpstream(index)));
    this.publishConfiguration();
    this.appendHeartbeats();
    this.heartbeatTimer = setInterval(() => this.appendHeartbeats(), HEARTBEAT_MS);
    for (let index = 0; index < vms; index += 1) {
      this.logProxies.push(new FaultyProxy(this.log.address));
    }
    return Promise.all(this.logProxies.map((proxy) => proxy.start()));
  }

  stop(): void {
    this.isStopped = true;
    clearInterval(this.heartbeatTimer);
    this.logProxies.forEach((proxy) => proxy.stop());
    this.upstreams.forEach(({ proxy, service, isRunning }) => {
      proxy.stop();
      if (isRunning) service.stop();
    });
    this.log.stop();
  }

  publishConfiguration(): void {
    this.version += this.pickInt(1, 3);
    const deployment = {
      version: this.version,
      host: HOST,
      engineService: 'engines',
      plainService: 'plain',
      model: MODEL,
      storeAddresses: [],
      zone: this.zones[0] ?? '',
    };
    this.log.append('operators', 'config', buildDeploymentRecord(deployment));
    this.configurationsAtMs.push(performance.now());
  }

  /** Harms the way of a VM, or of all, to the log. */
  async harmLog(index: number | undefined, fault: LinkFault, durationMs: number): Promise<void> {
    const fromMs = performance.now();
    const vmId = index === undefined ? undefined : `vm-${index}`;
    this.impairments.push({ vmId, kind: 'log', fromMs, toMs: fromMs + durationMs });
    const harmed = index === undefined ? this.logProxies : [this.logProxies[index]];
    harmed.forEach((proxy) => proxy?.setFault(fault));
    await sleep(durationMs);
    harmed.forEach((proxy) => proxy?.setFault(undefined));
  }

  /** The log answers all calls wrongly, or without end. */
  async harmLogAnswers(answer: StandInAnswer | EndlessBytes, durationMs: number): Promise<void> {
    const fromMs = performance.now();
    const toMs = fromMs + durationMs;
    this.impairments.push({ vmId: undefined, kind: 'log', fromMs, toMs });
    this.log.answerInstead = (response) => {
      if (!('piece' in answer)) sendAnswer(response, answer);
      else if (response.socket) streamEndlessly(response.socket, answer);
    };
    await sleep(durationMs);
    this.log.answerInstead = undefined;
  }

  async harmUpstreamLink(index: number, fault: LinkFault, durationMs: number): Promise<void> {
    const fromMs = performance.now();
    const toMs = fromMs + durationMs;
    this.impairments.push({ vmId: undefined, kind: 'upstreamLinks', fromMs, toMs });
    this.upstreams[index]?.proxy.setFault(fault);
    await sleep(durationMs);
    this.upstreams[index]?.proxy.setFault(undefined);
  }

  async harmAnswers(index: number, fault: AnswerFault, durationMs: number): Promise<void> {
    const upstream = this.upstreams[index];
    if (!upstream) return;
    upstream.fault = fault;
    await sleep(durationMs);
    upstream.fault = 'sound';
  }

  async restartUpstream(index: number, durationMs: number): Promise<void> {
    const upstream = this.upstreams[index];
    if (!upstream?.isRunning) return;
    await this.replaceUpstream(upstream, durationMs);
  }

  /** An upstream leaves as planned, and another one joins at its address. */
  async drainUpstream(index: number, durationMs: number): Promise<void> {
    const upstream = this.upstreams[index];
    if (!upstream?.isRunning || upstream.isLeaving) return;
    upstream.isLeaving = true;
    this.appendUpstream(upstream);
    const { upstreamId } = upstream.service;
    this.leaves.push({ upstreamId, atMs: performance.now() });
    await sleep(LEAVE_MS);
    if (upstream.isRunning) await this.replaceUpstream(upstream, durationMs);
  }

  private async replaceUpstream(upstream: SoakUpstream, durationMs: number): Promise<void> {
    const { upstreamId } = upstream.service;
    Object.assign(upstream, { isRunning: false, isLeaving: false });
    upstream.service.abort();
    await sleep(durationMs);
    if (this.isStopped) return;
    this.log.append('upstreams', upstreamId, undefined);
    const generation = upstream.generation + 1;
    const service = this.createService(upstream.index, generation);
    await service.start(upstream.port);
    Object.assign(upstream, { service, generation, isRunning: true, startedAtMs: Date.now() });
    this.appendUpstream(upstream);
  }

  private createService(index: number, generation: number): StandInService {
    const upstreamId = `u-${index}-${generation}`;
    const service = new StandInService(upstreamId, () => this.drawWork(index));
    this.services.push(service);
    return service;
  }

  private drawWork(index: number): ServiceWork {
    const fault = this.upstreams[index]?.fault ?? 'sound';
    return {
      fault: this.pickInt(1, 100) <= FAULT_PERCENT ? fault : 'sound',
      workMs: this.pickInt(1, 20) === 1 ? this.pickInt(300, 1_500) : this.pickInt(10, 120),
      eventIntervalMs: this.pickInt(10, 60),
    };
  }

  private async startUpstream(index: number): Promise<SoakUpstream> {
    const service = this.createService(index, 0);
    const direct = await service.start();
    const proxy = new FaultyProxy(direct);
    return {
      index,
      proxy,
      address: await proxy.start(),
      port: Number(direct.split(':')[1]),
      service,
      generation: 0,
      isLeaving: false,
      isRunning: true,
      fault: 'sound',
      startedAtMs: Date.now(),
    };
  }

  private appendHeartbeats(): void {
    this.heartbeat += 1;
    this.upstreams.filter(({ isRunning }) => isRunning).forEach((one) => this.appendUpstream(one));
  }

  private appendUpstream(upstream: SoakUpstream): void {
    const isEngine = upstream.index % 2 === 0;
    const record = buildUpstreamRecord({
      service: isEngine ? 'engines' : 'plain',
      address: upstream.address,
      zone: this.zones[upstream.index % this.zones.length] ?? '',
      slots: SLOTS,
      model: isEngine ? MODEL : undefined,
      weightNumber: 1,
      isLeaving: upstream.isLeaving,
      heartbeat: this.heartbeat,
      startedAtMs: upstream.startedAtMs,
    });
    this.log.append('upstreams', upstream.service.upstreamId, record);
  }
}
