import type { UpstreamBoot } from '../fleet/index.js';
import {
  CRASH_CLUSTER_MS,
  CRASH_MEMORY_MS,
  MAX_CRASHES_PER_PART,
  MIN_CRASHES,
  REFUSAL_IDLE_MS,
  REFUTATION_MS,
  REQUEST_TIME_STEP_MS,
} from './constants.js';

/** The end of an upstream that was beginning to answer a prompt with a part. */
export interface PartCrash extends UpstreamBoot {
  /** Client account of the prompt; an empty string for none. */
  readonly account: string;
  /** Monotonic time. */
  readonly atMs: number;
}

/** A crash as it is sent to other VMs, whose clocks differ. */
export interface CrashRow extends UpstreamBoot {
  readonly account: string;
  readonly ageMs: number;
}

/** What is known of a part, as it is sent to other VMs. */
export interface QuarantineRow {
  readonly digest: string;
  /** Name of the part, shortened. */
  readonly label: string;
  /** Number of times that a survival cleared the part; crashes before the last one don't count. */
  readonly clearings: number;
  readonly crashes: readonly CrashRow[];
  /** Time since a prompt with the part was last requested. */
  readonly requestedAgeMs: number;
}

const buildBootKey = ({ upstreamId, startedAtMs }: UpstreamBoot): string =>
  `${upstreamId}/${startedAtMs}`;

/**
 * Crashes and survivals of one prompt part. Merging is commutative and idempotent, so VMs agree
 * whatever the order in which they hear of each other's observations.
 */
export class PartEvidence {
  private readonly crashes = new Map<string, PartCrash>();

  private clearings = 0;

  /** Number of crashes, where those at about the same time count once. */
  separateCrashes = 0;

  /** Monotonic time of the last change that other VMs should hear of. */
  changedAtMs = -Infinity;

  /** Monotonic time of the first crash that counts; infinite if there is none. */
  firstCrashAtMs = Infinity;

  /** @param requestedAtMs monotonic time at which a prompt with the part was last requested */
  constructor(
    readonly digest: string,
    readonly label: string,
    private requestedAtMs: number,
  ) {}

  /** Whether any crash counts against the part. */
  get isSuspect(): boolean {
    return this.crashes.size > 0;
  }

  /** Whether prompts with the part are refused for at least one account. */
  get isRefused(): boolean {
    const knownForMs = performance.now() - this.firstCrashAtMs;
    return knownForMs >= REFUTATION_MS && this.separateCrashes >= MIN_CRASHES;
  }

  /**
   * Whether prompts of an account are refused. Crashes by prompts of a single account say nothing
   * about others, which that account could otherwise shut out.
   */
  isRefusedFor(account: string): boolean {
    if (!this.isRefused) return false;
    const accounts = new Set([...this.crashes.values()].map((crash) => crash.account));
    return accounts.size > 1 || accounts.has(account);
  }

  /** @returns whether this is news */
  recordCrash(crash: PartCrash): boolean {
    const key = buildBootKey(crash);
    const known = this.crashes.get(key);
    if (known && known.atMs <= crash.atMs) return false;
    if (!known && this.crashes.size >= MAX_CRASHES_PER_PART) return false;
    this.crashes.set(key, crash);
    this.countCrashes();
    this.requestedAtMs = Math.max(this.requestedAtMs, crash.atMs);
    return !known;
  }

  /** Forgets all crashes, because an upstream survived the part. */
  clear(): void {
    this.clearings += 1;
    this.crashes.clear();
    this.countCrashes();
  }

  markChanged(): void {
    this.changedAtMs = performance.now();
  }

  recordRequest(): void {
    this.requestedAtMs = performance.now();
  }

  /** Forgets old crashes, unless the part is refused. */
  prune(): void {
    const oldestMs = performance.now() - CRASH_MEMORY_MS;
    if (this.firstCrashAtMs >= oldestMs || this.isRefused) return;
    this.crashes.forEach(({ atMs }, key) => {
      if (atMs < oldestMs) this.crashes.delete(key);
    });
    this.countCrashes();
  }

  /** Whether nothing needs to be remembered of the part any more. */
  isExpired(): boolean {
    const idleMs = performance.now() - this.requestedAtMs;
    return idleMs > (this.isRefused ? REFUSAL_IDLE_MS : CRASH_MEMORY_MS);
  }

  /** @returns whether this is news */
  merge(row: QuarantineRow): boolean {
    const nowMs = performance.now();
    const requestedAtMs = nowMs - row.requestedAgeMs;
    // Rows that come back through other VMs seem later by their time in transit.
    if (requestedAtMs - this.requestedAtMs > REQUEST_TIME_STEP_MS)
      this.requestedAtMs = requestedAtMs;
    if (row.clearings < this.clearings) return false;
    const isNewer = row.clearings > this.clearings;
    if (isNewer) {
      this.crashes.clear();
      this.countCrashes();
    }
    this.clearings = row.clearings;
    const news = row.crashes.map(({ ageMs, ...crash }) =>
      this.recordCrash({ ...crash, atMs: nowMs - ageMs }),
    );
    this.prune();
    return isNewer || news.includes(true);
  }

  buildRow(): QuarantineRow {
    const nowMs = performance.now();
    return {
      digest: this.digest,
      label: this.label,
      clearings: this.clearings,
      crashes: [...this.crashes.values()].map(({ atMs, ...crash }) => ({
        ...crash,
        ageMs: nowMs - atMs,
      })),
      requestedAgeMs: nowMs - this.requestedAtMs,
    };
  }

  private countCrashes(): void {
    const times = [...this.crashes.values()].map(({ atMs }) => atMs);
    times.sort((left, right) => left - right);
    let clusterStartMs = -Infinity;
    this.separateCrashes = 0;
    times.forEach((atMs) => {
      if (atMs - clusterStartMs < CRASH_CLUSTER_MS) return;
      this.separateCrashes += 1;
      clusterStartMs = atMs;
    });
    this.firstCrashAtMs = times[0] ?? Infinity;
  }
}
