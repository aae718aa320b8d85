import type { ModelId, UpstreamId, WeightNumber } from '../ids.js';
import {
  DOWN_MS,
  HEARTBEAT_LAG_MS,
  LOAD_FRESH_MS,
  SILENT_REQUESTS,
  SILENT_REQUESTS_MS,
  SILENT_STREAM_MS,
  SUSPECT_MS,
} from './constants.js';
import type { PeerLoads } from './peerLoads.js';
import type { HeldWeights, RegisteredUpstream } from './registeredUpstream.js';

/** Load that an upstream told with an answer. */
export interface ToldLoad {
  readonly running: number;
  readonly waiting: number;
  readonly slots: number;
}

/** One upstream as this VM knows it: its registry entry and what answers have told since. */
export class TrackedUpstream {
  /** Requests of this VM in flight there. */
  inFlight = 0;

  /** Prompt tokens that it has to read for this VM's requests whose answers have not begun. */
  pendingTokens = 0;

  /** Prompt tokens of this VM's requests in flight there. */
  heldTokens = 0;

  private toldLoad: ToldLoad | undefined;

  private toldAtMs = -Infinity;

  private sentSinceTold = 0;

  private coldUntilMs: number;

  private suspectUntilMs = -Infinity;

  private busyUntilMs = -Infinity;

  private down: { readonly sinceMs: number; readonly untilMs: number } | undefined;

  /** Answers of this VM that have begun and not ended. */
  private openAnswers = 0;

  private lastHeardMs = performance.now();

  private readonly learnedWeights = new Map<ModelId, WeightNumber>();

  constructor(
    private entry: RegisteredUpstream,
    private readonly peerLoads: PeerLoads,
  ) {
    this.coldUntilMs = performance.now() + entry.coldRemainingMs;
  }

  get registered(): RegisteredUpstream {
    return this.entry;
  }

  get upstreamId(): UpstreamId {
    return this.entry.upstreamId;
  }

  /** Whether it started a moment ago and bears little, or may have. */
  get isCold(): boolean {
    const nowMs = performance.now();
    return nowMs < this.coldUntilMs || nowMs < this.suspectUntilMs;
  }

  /** Whether it said a moment ago that it takes no request, or seems to be down. */
  get isBusy(): boolean {
    return performance.now() < this.busyUntilMs || this.isDown;
  }

  /** Whether it seems to be down, and no heartbeat has said otherwise since. */
  get isDown(): boolean {
    return this.down !== undefined && performance.now() < this.down.untilMs;
  }

  /** Whether answers that have begun, or requests, have had no byte for longer than is usual. */
  get isSilent(): boolean {
    const silentMs = performance.now() - this.lastHeardMs;
    return (
      (this.openAnswers > 0 && silentMs > SILENT_STREAM_MS) ||
      (this.inFlight >= SILENT_REQUESTS && silentMs > SILENT_REQUESTS_MS)
    );
  }

  /** Requests that it runs or has waiting, as far as known. */
  estimateLoad(): number {
    const known = this.inFlight + this.peerLoads.sum(this.upstreamId).inFlight;
    const isFresh = performance.now() - this.toldAtMs < LOAD_FRESH_MS;
    if (!this.toldLoad || !isFresh) return known;
    const told = this.toldLoad.running + this.toldLoad.waiting + this.sentSinceTold;
    return Math.max(known, told / 2);
  }

  /** Prompt tokens that it has still to read, as far as known. */
  estimatePendingTokens(): number {
    return this.pendingTokens + this.peerLoads.sum(this.upstreamId).pendingTokens;
  }

  /** Prompt tokens of all requests there, as far as known. */
  estimateHeldTokens(): number {
    return this.heldTokens + this.peerLoads.sum(this.upstreamId).heldTokens;
  }

  /** @returns whether more than the heartbeat has changed */
  update(next: RegisteredUpstream): boolean {
    const before = this.entry;
    // What arrives sooner may have been written before it went down.
    if (this.down && performance.now() - this.down.sinceMs > HEARTBEAT_LAG_MS)
      this.down = undefined;
    this.entry = next;
    const isRestarted = next.startedAtMs !== before.startedAtMs;
    if (isRestarted) this.learnedWeights.clear();
    if (next.coldRemainingMs > 0 || isRestarted) {
      this.coldUntilMs = performance.now() + next.coldRemainingMs;
    }
    next.weights.forEach(({ model, held }) => {
      if ((this.learnedWeights.get(model) ?? held) <= held) this.learnedWeights.delete(model);
    });
    return (
      isRestarted ||
      next.draining !== before.draining ||
      next.address !== before.address ||
      next.weights.some(({ held }, index) => held !== before.weights[index]?.held)
    );
  }

  /** Gives the weights of a model that it runs on; answers are newer than heartbeats. */
  findWeights(model: ModelId): WeightNumber | undefined {
    const listed = this.entry.weights.find((weights) => weights.model === model)?.held;
    const learned = this.learnedWeights.get(model);
    if (learned === undefined || listed === undefined) return learned ?? listed;
    return learned > listed ? learned : listed;
  }

  /** Takes what an answer, an engine's report or another VM tells; older numbers are left out. */
  noteWeights(model: ModelId, held: WeightNumber): void {
    if (held > (this.findWeights(model) ?? -Infinity)) this.learnedWeights.set(model, held);
  }

  /** Lists the weights that are newer than its last heartbeat. */
  listLearnedWeights(): readonly HeldWeights[] {
    return [...this.learnedWeights].map(([model, held]) => ({ model, held }));
  }

  noteLoad(load: ToldLoad): void {
    this.toldLoad = load;
    this.toldAtMs = performance.now();
    this.sentSinceTold = 0;
  }

  /**
   * @param tokens tokens that it has to read
   * @param promptTokens tokens of the whole prompt
   */
  noteSent(tokens: number, promptTokens = tokens): void {
    if (this.inFlight === 0) this.noteHeard();
    this.inFlight += 1;
    this.sentSinceTold += 1;
    this.pendingTokens += tokens;
    this.heldTokens += promptTokens;
  }

  noteAnswerBegun(tokens: number): void {
    this.pendingTokens -= tokens;
  }

  /** Notes that some bytes of an answer have come. */
  noteHeard(): void {
    this.lastHeardMs = performance.now();
  }

  /** Notes a stream whose events now come one after the other. */
  noteStreamOpen(): void {
    this.openAnswers += 1;
  }

  noteStreamEnd(): void {
    this.openAnswers -= 1;
  }

  noteEnd(promptTokens = 0): void {
    this.inFlight -= 1;
    this.heldTokens -= promptTokens;
  }

  /** Keeps requests away until a heartbeat, or some time, says that it is up. */
  noteDown(): void {
    const nowMs = performance.now();
    if (!this.isDown) this.down = { sinceMs: nowMs, untilMs: nowMs + DOWN_MS };
  }

  /** Counts it as cold for a while: a broken connection may mean that it has restarted. */
  noteBroken(): void {
    this.suspectUntilMs = performance.now() + SUSPECT_MS;
  }

  noteCold(remainingMs: number): void {
    this.coldUntilMs = Math.max(this.coldUntilMs, performance.now() + remainingMs);
  }

  /** Keeps requests away from it for a moment. */
  noteBusy(forMs: number): void {
    this.busyUntilMs = performance.now() + forMs;
  }

  noteFree(): void {
    this.down = undefined;
    this.busyUntilMs = -Infinity;
  }
}
