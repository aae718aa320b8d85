import type { UpstreamBoot } from '../fleet/index.js';
import {
  CRASH_CLUSTER_MS,
  CRASH_MEMORY_MS,
  MAX_CRASHES_PER_PATTERN,
  MIN_PART_CRASHES,
  REFUSAL_IDLE_MS,
  REFUTATION_MS,
  REQUEST_TIME_STEP_MS,
} from './constants.js';
import type { CrashPattern } from './crashPattern.js';
import type { RequestBlame } from './requestBlame.js';
import { RequestTrials } from './requestTrials.js';
import type { RequestTrial } from './requestTrials.js';

/** The end of an upstream that was running a request with a pattern, or beginning to answer it. */
export interface PatternCrash extends UpstreamBoot {
  /** Client account of the request; an empty string for none. */
  readonly account: string;
  /** Service of the upstream; an empty string if a VM of an earlier version saw the crash. */
  readonly service: string;
  /** Monotonic time. */
  readonly atMs: number;
}

/** A crash as it is sent to other VMs, whose clocks differ. */
export interface CrashRow extends UpstreamBoot {
  readonly account: string;
  readonly service: string;
  readonly ageMs: number;
}

/** What is known of a pattern, as it is sent to other VMs. */
export interface QuarantineRow extends CrashPattern {
  /** Number of times that a survival cleared it; crashes before the last one don't count. */
  readonly clearings: number;
  readonly crashes: readonly CrashRow[];
  /** Time since a request with the pattern last came. */
  readonly requestedAgeMs: number;
  /** Number of trials of a held request, and of their renewals. */
  readonly trials: number;
}

const buildBootKey = ({ upstreamId, startedAtMs }: UpstreamBoot): string =>
  `${upstreamId}/${startedAtMs}`;

/**
 * Crashes and survivals of one pattern. Merging is commutative and idempotent, so VMs agree whatever
 * the order in which they receive each other's observations.
 */
export class PatternEvidence {
  private readonly crashes = new Map<string, PatternCrash>();

  private clearings = 0;

  /** Number of crashes, where those at about the same time count once. */
  separateCrashes = 0;

  /** Monotonic time of the last change that other VMs should receive. */
  changedAtMs = -Infinity;

  /** Monotonic time of the first crash that counts; infinite if there is none. */
  firstCrashAtMs = Infinity;

  private blame: RequestBlame = 'none';

  private readonly trials = new RequestTrials();

  /** @param requestedAtMs monotonic time at which a request with the pattern last came */
  constructor(
    readonly pattern: CrashPattern,
    private requestedAtMs: number,
  ) {}

  /** Whether any crash counts against the pattern. */
  get isSuspect(): boolean {
    return this.crashes.size > 0;
  }

  /** Whether requests with the pattern are refused for at least one account. */
  get isRefused(): boolean {
    return this.hasEnoughCrashes && this.refutationLeftMs === 0;
  }

  /** Time until the pattern is refused, in which a survival can still clear it; 0 if it is over. */
  get refutationLeftMs(): number {
    return Math.max(0, this.firstCrashAtMs + REFUTATION_MS - performance.now());
  }

  /** Whether there are enough separate crashes for a refusal. */
  get hasEnoughCrashes(): boolean {
    return this.pattern.kind === 'request'
      ? this.blame === 'refused'
      : this.separateCrashes >= MIN_PART_CRASHES;
  }

  /** Whether a whole request is held until a trial shows whether it crashes its upstream. */
  get isOnTrial(): boolean {
    return this.blame === 'on-trial';
  }

  /**
   * Whether requests of an account are refused. Crashes by prompts of a single account say nothing
   * about others, which that account could otherwise shut out.
   */
  isRefusedFor(account: string): boolean {
    if (!this.isRefused) return false;
    const accounts = new Set([...this.crashes.values()].map((crash) => crash.account));
    return accounts.size > 1 || accounts.has(account);
  }

  /** @returns whether this is a change */
  recordCrash(crash: PatternCrash): boolean {
    const key = buildBootKey(crash);
    const known = this.crashes.get(key);
    if (known && known.atMs <= crash.atMs) return false;
    this.crashes.set(key, crash);
    if (this.crashes.size > MAX_CRASHES_PER_PATTERN && this.dropMiddleCrash() === key) return false;
    this.countCrashes();
    this.requestedAtMs = Math.max(this.requestedAtMs, crash.atMs);
    return !known;
  }

  /** Sets the blame of a whole request, which a comparison with others decides. */
  setBlame(blame: RequestBlame): void {
    this.blame = blame;
  }

  /**
   * Returns the time for which a whole request is not sent by a VM; 0 if it may be sent now, or is refused.
   *
   * @param rank of the VM among those that may try it
   */
  computeHoldMs(rank: number): number {
    if (this.hasEnoughCrashes) return this.refutationLeftMs;
    if (!this.isOnTrial) return 0;
    const lastCrashAtMs = Math.max(...[...this.crashes.values()].map(({ atMs }) => atMs));
    return this.trials.computeWaitMs(rank, lastCrashAtMs + REFUTATION_MS);
  }

  beginTrial(): RequestTrial {
    this.recordRequest();
    return this.trials.begin();
  }

  /** @returns whether a trial is under way of which other VMs should be told again */
  renewTrial(): boolean {
    return this.trials.renew();
  }

  /** Forgets all crashes, because an upstream survived the pattern. */
  clear(): void {
    this.clearings += 1;
    this.crashes.clear();
    this.trials.clear();
    // Otherwise it may expire before other VMs have received the clearing.
    this.recordRequest();
    this.countCrashes();
  }

  markChanged(): void {
    this.changedAtMs = performance.now();
  }

  recordRequest(): void {
    this.requestedAtMs = performance.now();
  }

  /** Forgets old crashes, unless the pattern is refused or on trial. */
  prune(): void {
    const oldestMs = performance.now() - CRASH_MEMORY_MS;
    if (this.firstCrashAtMs >= oldestMs || this.isRefused || this.isOnTrial) return;
    this.crashes.forEach(({ atMs }, key) => {
      if (atMs < oldestMs) this.crashes.delete(key);
    });
    this.countCrashes();
  }

  /** Whether nothing needs to be remembered of the pattern any more. */
  isExpired(): boolean {
    const idleMs = performance.now() - this.requestedAtMs;
    return idleMs > (this.isRefused || this.isOnTrial ? REFUSAL_IDLE_MS : CRASH_MEMORY_MS);
  }

  /** @returns whether this is a change */
  merge(row: QuarantineRow): boolean {
    const nowMs = performance.now();
    const requestedAtMs = nowMs - row.requestedAgeMs;
    // Rows that come back through other VMs seem later by their time in transit.
    if (requestedAtMs - this.requestedAtMs > REQUEST_TIME_STEP_MS)
      this.requestedAtMs = requestedAtMs;
    if (row.clearings < this.clearings) return false;
    const isNewer = row.clearings > this.clearings;
    if (isNewer) {
      this.trials.clear();
      this.crashes.clear();
      this.countCrashes();
    }
    this.clearings = row.clearings;
    const changes = row.crashes.map(({ ageMs, ...crash }) =>
      this.recordCrash({ ...crash, atMs: nowMs - ageMs }),
    );
    this.prune();
    return this.trials.merge(row.trials) || isNewer || changes.includes(true);
  }

  buildRow(): QuarantineRow {
    const nowMs = performance.now();
    return {
      ...this.pattern,
      clearings: this.clearings,
      crashes: [...this.crashes.values()].map(({ atMs, ...crash }) => ({
        ...crash,
        ageMs: nowMs - atMs,
      })),
      requestedAgeMs: nowMs - this.requestedAtMs,
      trials: this.trials.latest,
    };
  }

  /** Crashes by boot. */
  get crashesByBoot(): ReadonlyMap<string, PatternCrash> {
    return this.crashes;
  }

  /** Boots of upstreams that ended under the pattern. */
  get bootKeys(): readonly string[] {
    return [...this.crashes.keys()];
  }

  /** Groups the crashes of some boots by time. @returns the times of each group, in order */
  listClusters(bootKeys: ReadonlySet<string>): readonly (readonly number[])[] {
    const times = [...this.crashes]
      .filter(([bootKey]) => bootKeys.has(bootKey))
      .map(([, { atMs }]) => atMs)
      .sort((left, right) => left - right);
    const clusters: number[][] = [];
    times.forEach((atMs) => {
      const last = clusters.at(-1);
      if (last && atMs - last[0]! < CRASH_CLUSTER_MS) last.push(atMs);
      else clusters.push([atMs]);
    });
    return clusters;
  }

  /**
   * Keeps the first and the last crashes if there are too many. That choice doesn't depend on the order
   * in which they were received, and a herd of crashes leaves room for later ones.
   *
   * @returns the key of the crash that is not kept
   */
  private dropMiddleCrash(): string {
    const inOrder = [...this.crashes].sort(
      ([leftKey, left], [rightKey, right]) =>
        left.atMs - right.atMs || (leftKey < rightKey ? -1 : 1),
    );
    const [dropped] = inOrder[MAX_CRASHES_PER_PATTERN / 2]!;
    this.crashes.delete(dropped);
    return dropped;
  }

  private countCrashes(): void {
    this.separateCrashes = this.listClusters(new Set(this.crashes.keys())).length;
    this.firstCrashAtMs = Math.min(...[...this.crashes.values()].map(({ atMs }) => atMs));
  }
}
