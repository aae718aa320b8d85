import type { UpstreamBoot } from '../fleet/index.js';
import {
  MAX_PATTERN_LABEL_LENGTH,
  MAX_REMEMBERED_SURVIVALS,
  MAX_ROWS_PER_MESSAGE,
  MAX_TRACKED_PATTERNS,
  ROW_REPEAT_MS,
} from './constants.js';
import { PatternLister, buildRequestLabel } from './crashPattern.js';
import type { CrashPattern, CrashSubject, WholeRequest } from './crashPattern.js';
import { PatternEvidence } from './patternEvidence.js';
import type { QuarantineRow } from './patternEvidence.js';
import { RecentAnswers } from './recentAnswers.js';
import { RecentEnds } from './recentEnds.js';
import { decideBlamedRequests } from './requestBlame.js';
import type { RequestTrial } from './requestTrials.js';

/** An upstream that ended, and its service if known. */
export interface EndedUpstream extends UpstreamBoot {
  readonly service?: string;
}

/** A change of what is believed of a pattern. */
export interface QuarantineChange {
  readonly kind: 'refused' | 'lifted';
  readonly row: QuarantineRow;
}

/**
 * Finds the prompt part, or the whole request, that makes every upstream crash which runs it (a
 * "query of death"), and decides which requests to refuse.
 *
 * A pattern is refused after several separate crashes of upstreams that were running a request with
 * it, unless an answer to it went well since the first of them. Sound requests are present at crashes
 * too, but their other answers go well.
 */
export class CrashQuarantine {
  private readonly evidence = new Map<string, PatternEvidence>();

  private readonly patterns = new PatternLister();

  /** Number of tracked whole requests by label. */
  private readonly requestLabels = new Map<string, number>();

  private readonly recentAnswers = new RecentAnswers();

  private readonly recentEnds = new RecentEnds();

  private readonly refused = new Set<string>();

  /** Monotonic time of the last survival by digest, the last recorded at the end. */
  private readonly survivals = new Map<string, number>();

  private changedAtMs = -Infinity;

  private sentAtMs = -Infinity;

  /**
   * @param onChange called when a pattern begins or ceases to be refused
   * @param rankSelf returns the rank of this VM among all that may try a request, from 0 on
   */
  constructor(
    private readonly onChange: (change: QuarantineChange) => void = () => undefined,
    private readonly rankSelf: (digest: string) => number = () => 0,
  ) {}

  /** Whether nothing is suspected. */
  get isEmpty(): boolean {
    return this.evidence.size === 0;
  }

  /** Number of patterns that are refused. */
  get refusedCount(): number {
    return this.refused.size;
  }

  /**
   * Records that an upstream ended while it was running a request, or beginning to answer it.
   *
   * @param ageMs time since it ended
   */
  recordCrash(subject: CrashSubject, boot: EndedUpstream, ageMs = 0): void {
    const { upstreamId, startedAtMs, service = '' } = boot;
    const account = subject.account ?? '';
    const crash = { upstreamId, startedAtMs, account, service, atMs: performance.now() - ageMs };
    this.patterns.list(subject).forEach((pattern) => {
      const evidence = this.getOrCreate(pattern, 0);
      if (!evidence?.recordCrash(crash)) return;
      this.clearIfSurvived(evidence);
      this.handleChange(evidence);
    });
  }

  /** Records that an upstream got past the beginning of its answer to a prompt, or answered a request. */
  recordSurvival(subject: CrashSubject): void {
    if ('body' in subject) {
      this.recentAnswers.record(subject);
      if (!this.requestLabels.has(buildRequestLabel(subject))) return;
    }
    this.patterns.list(subject).forEach(({ digest }) => {
      this.storeSurvival(digest, performance.now());
      const evidence = this.evidence.get(digest);
      if (evidence) this.clearIfSurvived(evidence);
    });
  }

  /** Whether an upstream has crashed under a pattern of the request. */
  hasSuspect(subject: CrashSubject): boolean {
    return this.listTracked(subject).some(({ isSuspect }) => isSuspect);
  }

  /** Finds the pattern for which a request is refused. */
  findRefused(subject: CrashSubject): QuarantineRow | undefined {
    // Not by the set of refused patterns, which only changes and gossip update.
    if (![...this.evidence.values()].some(({ isRefused }) => isRefused)) return undefined;
    const account = subject.account ?? '';
    const evidence = this.listTracked(subject).find((one) => one.isRefusedFor(account));
    if (!evidence) return undefined;
    this.updateRefusal(evidence);
    evidence.recordRequest();
    return evidence.buildRow();
  }

  /**
   * Returns the time for which this VM holds a whole request back, because upstreams crashed under it
   * but a survival can still clear it; 0 if it does not.
   */
  computeHoldMs(request: WholeRequest): number {
    const holds = this.listTracked(request).map((evidence) => {
      // The first VM by rank waits for the shortest time, so most holds need no ranking of the fleet.
      const shortestMs = evidence.computeHoldMs(0);
      if (shortestMs > 0 || !evidence.isOnTrial) return shortestMs;
      return evidence.computeHoldMs(this.rankSelf(evidence.pattern.digest));
    });
    return Math.max(0, ...holds);
  }

  /** Notes that a request is being sent. @returns a trial if other VMs hold the request meanwhile */
  beginTrial(request: WholeRequest): RequestTrial | undefined {
    const evidence = this.listTracked(request).find(({ isOnTrial }) => isOnTrial);
    const trial = evidence?.beginTrial();
    if (evidence) this.handleChange(evidence);
    return trial;
  }

  /** Lifts a refusal by hand. @returns whether the pattern was tracked */
  lift(digest: string): boolean {
    const evidence = this.evidence.get(digest);
    if (!evidence) return false;
    evidence.clear();
    this.handleChange(evidence);
    return true;
  }

  /** Returns the rows to send to other VMs now; none if they have not changed for a while. */
  takeRows(): readonly QuarantineRow[] {
    this.refresh();
    this.evidence.forEach((evidence) => {
      if (evidence.renewTrial()) this.handleChange(evidence);
    });
    const nowMs = performance.now();
    const isRecent = nowMs - this.changedAtMs < ROW_REPEAT_MS;
    if (!isRecent && nowMs - this.sentAtMs < ROW_REPEAT_MS) return [];
    this.sentAtMs = nowMs;
    // A clearing has no crashes, so the most suspected patterns must not crowd it out.
    return [...this.evidence.values()]
      .sort(
        (left, right) =>
          Number(right.isRefused) - Number(left.isRefused) || right.changedAtMs - left.changedAtMs,
      )
      .slice(0, MAX_ROWS_PER_MESSAGE)
      .map((evidence) => evidence.buildRow());
  }

  merge(rows: readonly QuarantineRow[]): void {
    rows.forEach((row) => {
      const evidence = this.getOrCreate(row, row.requestedAgeMs);
      if (!evidence?.merge(row)) return;
      this.clearIfSurvived(evidence);
      this.handleChange(evidence);
    });
  }

  /** Lists what is known, the patterns with the most crashes first. */
  dump(): readonly QuarantineRow[] {
    return [...this.evidence.values()]
      .sort((left, right) => right.separateCrashes - left.separateCrashes)
      .map((evidence) => evidence.buildRow());
  }

  /** Lists the refused patterns that a message has room for. */
  listRefused(): readonly QuarantineRow[] {
    return [...this.refused]
      .slice(0, MAX_ROWS_PER_MESSAGE)
      .flatMap((digest) => this.evidence.get(digest)?.buildRow() ?? []);
  }

  private listTracked(subject: CrashSubject): readonly PatternEvidence[] {
    if (this.evidence.size === 0) return [];
    if ('body' in subject && !this.requestLabels.has(buildRequestLabel(subject))) return [];
    return this.patterns.list(subject).flatMap(({ digest }) => this.evidence.get(digest) ?? []);
  }

  /** @returns undefined if the table is full of patterns that are refused */
  private getOrCreate(pattern: CrashPattern, requestedAgeMs: number): PatternEvidence | undefined {
    const known = this.evidence.get(pattern.digest);
    if (known) return known;
    if (this.evidence.size >= MAX_TRACKED_PATTERNS) this.evictOne();
    if (this.evidence.size >= MAX_TRACKED_PATTERNS) return undefined;
    const { kind, digest } = pattern;
    const label = pattern.label.slice(0, MAX_PATTERN_LABEL_LENGTH);
    const created = new PatternEvidence(
      { kind, digest, label },
      performance.now() - requestedAgeMs,
    );
    this.evidence.set(digest, created);
    if (kind === 'request') this.trackRequest(label);
    return created;
  }

  /** Counts a request by its label, and recalls the last answers to requests with that label. */
  private trackRequest(label: string): void {
    this.requestLabels.set(label, (this.requestLabels.get(label) ?? 0) + 1);
    this.recentAnswers.list(label).forEach(({ request, atMs }) => {
      this.patterns.list(request).forEach(({ digest }) => this.storeSurvival(digest, atMs));
    });
  }

  private delete({ pattern: { kind, digest, label } }: PatternEvidence): void {
    this.evidence.delete(digest);
    if (kind !== 'request') return;
    const count = (this.requestLabels.get(label) ?? 0) - 1;
    if (count > 0) this.requestLabels.set(label, count);
    else this.requestLabels.delete(label);
  }

  /** Evicts the pattern with the fewest crashes, the oldest first; never one that is refused. */
  private evictOne(): void {
    const candidates = [...this.evidence.values()].filter(({ isRefused }) => !isRefused);
    const fewest = Math.min(...candidates.map(({ separateCrashes }) => separateCrashes));
    const evicted = candidates.find(({ separateCrashes }) => separateCrashes === fewest);
    if (evicted) this.delete(evicted);
  }

  private storeSurvival(digest: string, atMs: number): void {
    const lastAtMs = Math.max(atMs, this.survivals.get(digest) ?? -Infinity);
    this.survivals.delete(digest);
    this.survivals.set(digest, lastAtMs);
    if (this.survivals.size > MAX_REMEMBERED_SURVIVALS)
      this.survivals.delete(this.survivals.keys().next().value!);
  }

  /** Clears a pattern if an answer to it went well since the first crash. */
  private clearIfSurvived(evidence: PatternEvidence): void {
    const survivedAtMs = this.survivals.get(evidence.pattern.digest) ?? -Infinity;
    if (!evidence.isSuspect || survivedAtMs < evidence.firstCrashAtMs) return;
    evidence.clear();
    this.handleChange(evidence);
  }

  /** Applies what changes with time alone. */
  private refresh(): void {
    this.evidence.forEach((evidence) => evidence.prune());
    this.updateBlame();
    this.evidence.forEach((evidence, digest) => {
      this.updateRefusal(evidence);
      if (!evidence.isExpired()) return;
      this.delete(evidence);
      if (this.refused.delete(digest)) this.onChange({ kind: 'lifted', row: evidence.buildRow() });
    });
  }

  private handleChange(evidence: PatternEvidence): void {
    this.changedAtMs = performance.now();
    evidence.markChanged();
    if (evidence.pattern.kind === 'request') this.updateBlame();
    this.updateRefusal(evidence);
  }

  /** Compares the tracked requests; a change at one may explain what counted against others. */
  private updateBlame(): void {
    if (this.requestLabels.size === 0) return;
    const requests = [...this.evidence.values()].filter(
      ({ pattern }) => pattern.kind === 'request',
    );
    requests.forEach(({ crashesByBoot }) => this.recentEnds.record(crashesByBoot));
    const blamed = decideBlamedRequests(requests, this.recentEnds);
    requests.forEach((request) => {
      request.setBlame(blamed.get(request) ?? 'none');
      this.updateRefusal(request);
    });
  }

  private updateRefusal(evidence: PatternEvidence): void {
    const { isRefused } = evidence;
    const { digest } = evidence.pattern;
    if (isRefused === this.refused.has(digest)) return;
    if (isRefused) this.refused.add(digest);
    else this.refused.delete(digest);
    this.onChange({ kind: isRefused ? 'refused' : 'lifted', row: evidence.buildRow() });
  }
}
