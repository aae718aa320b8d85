import type { ModelId, UpstreamId, WeightNumber } from '../ids.js';
import {
  MAX_DOWN_MS,
  MAX_HEARTBEAT_DELAY_MS,
  LOAD_REPORT_TTL_MS,
  MIN_REQUESTS_FOR_STALL,
  REQUESTS_STALL_TIMEOUT_MS,
  STREAM_STALL_TIMEOUT_MS,
  SUSPECTED_COLD_MS,
} from './constants.js';
import { FailureLoad } from './failureLoad.js';
import type { PeerLoads } from './peerLoads.js';
import type { LoadedWeights, RegisteredUpstream } from './registeredUpstream.js';
import { ServiceSpeed } from './serviceSpeed.js';
import { UpstreamSpeed } from './upstreamSpeed.js';

/** Load that an upstream reported with a response. */
export interface ReportedLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
  /** Time that work takes now, relative to the usual time; undefined if not reported. */
  readonly slowdown?: number | undefined;
}

/** State of one upstream as known to this VM, from its registry entry and from later responses. */
export class TrackedUpstream {
  /** Requests of this VM in flight at the upstream. */
  inFlight = 0;

  /** Prompt tokens to prefill of this VM's requests whose responses have not begun. */
  pendingTokens = 0;

  /** Prompt tokens of this VM's requests in flight at the upstream. */
  inFlightTokens = 0;

  /** Load for which its failed requests count; cleared when it is ejected or restarts. */
  readonly failureLoad = new FailureLoad();

  /** How much longer work takes there than usually at its service; forgotten when it restarts. */
  readonly speed: UpstreamSpeed;

  private reportedLoad: ReportedLoad | undefined;

  private reportedAtMs = -Infinity;

  private dispatchedSinceReport = 0;

  private coldUntilMs: number;

  private suspectedColdUntilMs = -Infinity;

  private busyUntilMs = -Infinity;

  private noConnectionUntilMs = -Infinity;

  /** Whether it has announced in a response that it leaves. */
  private hasAnnouncedLeaving = false;

  private restUntilMs = -Infinity;

  private down: { readonly sinceMs: number; readonly untilMs: number } | undefined;

  /** Open response streams of this VM. */
  private openStreams = 0;

  private lastActivityMs = performance.now();

  /** Time of the last bytes that this VM got from it. */
  private lastBytesMs = -Infinity;

  private readonly reportedWeights = new Map<ModelId, WeightNumber>();

  constructor(
    private entry: RegisteredUpstream,
    private readonly peerLoads: PeerLoads,
    serviceSpeed = new ServiceSpeed(),
  ) {
    this.speed = new UpstreamSpeed(serviceSpeed);
    this.coldUntilMs = performance.now() + entry.coldRemainingMs;
  }

  get registered(): RegisteredUpstream {
    return this.entry;
  }

  get upstreamId(): UpstreamId {
    return this.entry.upstreamId;
  }

  /** Time that work takes there now, relative to what is usual at its service. */
  get slowdown(): number {
    return this.speed.slowdown;
  }

  /** The same without what may be over in a moment; prompts that move are read again elsewhere. */
  get lastingSlowdown(): number {
    return this.speed.lastingSlowdown;
  }

  /** Whether it has, or may have, started recently and can handle only few requests. */
  get isCold(): boolean {
    const nowMs = performance.now();
    return nowMs < this.coldUntilMs || nowMs < this.suspectedColdUntilMs;
  }

  /** Whether it is about to leave, by its registry entry or by its own responses. */
  get isLeaving(): boolean {
    return this.entry.draining || this.hasAnnouncedLeaving;
  }

  /** Whether only its own responses, or those that other VMs got, say that it leaves. */
  get isLeavingUnregistered(): boolean {
    return this.hasAnnouncedLeaving && !this.entry.draining;
  }

  /** Time for which it asked this VM to send no requests, in milliseconds; 0 if it did not. */
  get restMs(): number {
    return Math.max(0, this.restUntilMs - performance.now());
  }

  /** Whether it recently refused requests or appears to be down. */
  get isBusy(): boolean {
    return performance.now() < this.busyUntilMs || this.isDown;
  }

  /** Whether this VM recently had no connection left for a request to it. */
  get lacksConnection(): boolean {
    return performance.now() < this.noConnectionUntilMs;
  }

  /** Whether it appears to be down and no later heartbeat contradicts that. */
  get isDown(): boolean {
    return this.down !== undefined && performance.now() < this.down.untilMs;
  }

  /** Whether open streams or requests in flight have received no bytes for unusually long. */
  get isStalled(): boolean {
    const inactiveMs = performance.now() - this.lastActivityMs;
    return (
      (this.openStreams > 0 && inactiveMs > STREAM_STALL_TIMEOUT_MS) ||
      (this.inFlight >= MIN_REQUESTS_FOR_STALL && inactiveMs > REQUESTS_STALL_TIMEOUT_MS)
    );
  }

  /** Estimates the running and waiting requests. */
  estimateLoad(): number {
    const inFlightFleetWide = this.inFlight + this.peerLoads.getTotals(this.upstreamId).inFlight;
    const isFresh = performance.now() - this.reportedAtMs < LOAD_REPORT_TTL_MS;
    if (!this.reportedLoad || !isFresh) return inFlightFleetWide;
    const reported =
      this.reportedLoad.running + this.reportedLoad.waiting + this.dispatchedSinceReport;
    return Math.max(inFlightFleetWide, reported / 2);
  }

  /** Estimates the prompt tokens still to be prefilled. */
  estimatePendingTokens(): number {
    return this.pendingTokens + this.peerLoads.getTotals(this.upstreamId).pendingTokens;
  }

  /** Estimates the prompt tokens of all requests in flight. */
  estimateInFlightTokens(): number {
    return this.inFlightTokens + this.peerLoads.getTotals(this.upstreamId).inFlightTokens;
  }

  /** @returns whether more than the heartbeat has changed */
  update(next: RegisteredUpstream): boolean {
    const previous = this.entry;
    // A heartbeat that arrives earlier may have been written before the upstream went down.
    if (this.down && performance.now() - this.down.sinceMs > MAX_HEARTBEAT_DELAY_MS)
      this.down = undefined;
    this.entry = next;
    const isRestarted = next.startedAtMs !== previous.startedAtMs;
    if (isRestarted) {
      this.reportedWeights.clear();
      this.hasAnnouncedLeaving = false;
      this.restUntilMs = -Infinity;
      this.failureLoad.clear();
      this.speed.reset();
    }
    if (next.coldRemainingMs > 0 || isRestarted) {
      this.coldUntilMs = performance.now() + next.coldRemainingMs;
    }
    next.weights.forEach(({ model, weightNumber }) => {
      if ((this.reportedWeights.get(model) ?? weightNumber) <= weightNumber)
        this.reportedWeights.delete(model);
    });
    return (
      isRestarted ||
      next.draining !== previous.draining ||
      next.address !== previous.address ||
      next.softwareVersion !== previous.softwareVersion ||
      next.weights.some(
        ({ weightNumber }, index) => weightNumber !== previous.weights[index]?.weightNumber,
      )
    );
  }

  /** Returns the loaded weights of a model, the newer of its heartbeat and later reports. */
  findWeights(model: ModelId): WeightNumber | undefined {
    const registered = this.entry.weights.find((weights) => weights.model === model)?.weightNumber;
    const reported = this.reportedWeights.get(model);
    if (reported === undefined || registered === undefined) return reported ?? registered;
    return reported > registered ? reported : registered;
  }

  /** Records weights reported by a response, the engine or another VM; ignored unless newer. */
  recordWeights(model: ModelId, weights: WeightNumber): void {
    if (weights > (this.findWeights(model) ?? -Infinity)) this.reportedWeights.set(model, weights);
  }

  /** Lists weights that are newer than those in its last heartbeat. */
  listReportedWeights(): readonly LoadedWeights[] {
    return [...this.reportedWeights].map(([model, weightNumber]) => ({ model, weightNumber }));
  }

  recordLoad(load: ReportedLoad): void {
    this.reportedLoad = load;
    this.reportedAtMs = performance.now();
    this.dispatchedSinceReport = 0;
  }

  /**
   * @param prefillTokens prompt tokens to prefill
   * @param promptTokens tokens of the entire prompt
   */
  recordDispatch(prefillTokens: number, promptTokens = prefillTokens): void {
    if (this.inFlight === 0) this.lastActivityMs = performance.now();
    this.inFlight += 1;
    this.dispatchedSinceReport += 1;
    this.pendingTokens += prefillTokens;
    this.inFlightTokens += promptTokens;
  }

  /** Takes back `recordDispatch` for a request that was not sent. */
  withdrawDispatch(prefillTokens: number, promptTokens: number): void {
    this.dispatchedSinceReport = Math.max(0, this.dispatchedSinceReport - 1);
    this.recordResponseStart(prefillTokens);
    this.recordCompletion(promptTokens);
  }

  recordResponseStart(prefillTokens: number): void {
    this.pendingTokens -= prefillTokens;
  }

  /** Records that bytes of a response have arrived. */
  recordActivity(): void {
    this.lastActivityMs = performance.now();
    this.lastBytesMs = this.lastActivityMs;
  }

  /** Records that a response stream has begun to deliver events. */
  recordStreamStart(): void {
    this.openStreams += 1;
  }

  recordStreamEnd(): void {
    this.openStreams -= 1;
  }

  recordCompletion(promptTokens = 0): void {
    this.inFlight -= 1;
    this.inFlightTokens -= promptTokens;
  }

  /** Excludes the upstream from routing until its next heartbeat or a timeout. */
  markDown(): void {
    const nowMs = performance.now();
    if (!this.isDown) this.down = { sinceMs: nowMs, untilMs: nowMs + MAX_DOWN_MS };
  }

  /** The same on the word of another VM; what this VM got itself in the meantime counts more. */
  markReportedDown(): void {
    if (performance.now() - this.lastBytesMs > STREAM_STALL_TIMEOUT_MS) this.markDown();
  }

  /** Takes back what was concluded from failures that were not its own. */
  clearSuspicions(): void {
    this.clearBusy();
    this.suspectedColdUntilMs = -Infinity;
  }

  /**
   * Treats the upstream as cold for a while, because it may have restarted after a lost connection.
   */
  markSuspectedCold(): void {
    this.suspectedColdUntilMs = performance.now() + SUSPECTED_COLD_MS;
  }

  markCold(remainingMs: number): void {
    this.coldUntilMs = Math.max(this.coldUntilMs, performance.now() + remainingMs);
  }

  /** Excludes the upstream from routing until it restarts. @returns whether this is a change */
  markLeaving(): boolean {
    const isChange = !this.hasAnnouncedLeaving;
    this.hasAnnouncedLeaving = true;
    return isChange;
  }

  /** Excludes the upstream from routing by this VM for the time that it asked for. */
  markResting(durationMs: number): void {
    this.restUntilMs = Math.max(this.restUntilMs, performance.now() + durationMs);
  }

  /** Excludes the upstream from routing for a short time. */
  markBusy(durationMs: number): void {
    this.busyUntilMs = performance.now() + durationMs;
  }

  /**
   * Excludes the upstream for requests that have no connection to it yet, for a short time. It is no
   * sign that the upstream is full.
   */
  markLackingConnection(durationMs: number): void {
    this.noConnectionUntilMs = performance.now() + durationMs;
  }

  clearBusy(): void {
    this.down = undefined;
    this.busyUntilMs = -Infinity;
    this.noConnectionUntilMs = -Infinity;
  }
}
