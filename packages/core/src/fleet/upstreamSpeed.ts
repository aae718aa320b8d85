import type { ServiceSpeed } from './serviceSpeed.js';

/** Bounds of the estimated slowdown. One that seems fast is most often idle, and would draw all VMs. */
const MIN_SLOWDOWN = 1;
const MAX_SLOWDOWN = 6;

/** Bounds within which a reported slowdown counts; no upstream gets more for saying that it is fast. */
const MIN_REPORTED_SLOWDOWN = 1;
const MAX_REPORTED_SLOWDOWN = 4;

/** Differences up to this factor are taken for chance, and those beyond its square count in full. */
const CHANCE_LOG = Math.log(1.25);

/**
 * The same for what answers show against reports: they also depend on what else the upstream does, and
 * on what this VM does not know of.
 */
const REPORT_ERROR_CHANCE_LOG = Math.log(1.6);

/** Time constant with which the last sample loses its weight to the lasting average, in milliseconds. */
const RECENT_MS = 400;

/** Time constant with which the lasting average is forgotten, in milliseconds. */
const LASTING_MS = 10_000;

/** Time that a sample must stand for to change the lasting average to the full, in milliseconds. */
const FULL_SAMPLE_MS = 2_500;

/** Maximum weight of a new sample in the lasting average, and its weight in the error of the reports. */
const MAX_SAMPLE_WEIGHT = 0.35;

/** Weight of a sample without a report, which depends on what else the upstream did. */
const UNREPORTED_WEIGHT = 0.5;

/** Shortest time without an answer that tells anything of an upstream's speed, in milliseconds. */
const MIN_OVERDUE_MS = 100;

/** An upstream without answers counts as slow from this multiple of the usual time on. */
const OVERDUE_RATIO = 4;

/** What others may have sent it may explain this part of the multiple. */
const OVERDUE_QUEUE_RATIO = 2;

/** Maximum slowdown that is concluded from an answer that has not come yet. */
const MAX_OVERDUE_SLOWDOWN = 4;

/** Leaves out what may be chance. */
const computeExcessLog = (log: number, chanceLog: number): number =>
  Math.sign(log) * Math.min(Math.abs(log), 2 * Math.max(0, Math.abs(log) - chanceLog));

/** Time for which estimates are kept, in milliseconds; all groups of one choice read them. */
const ESTIMATE_TTL_MS = 20;

/** Estimates of one moment. */
interface Slowdowns {
  readonly now: number;
  readonly lasting: number;
}

const USUAL: Slowdowns = { now: 1, lasting: 1 };

const computeSlowdown = (log: number): number =>
  Math.min(MAX_SLOWDOWN, Math.max(MIN_SLOWDOWN, Math.exp(computeExcessLog(log, CHANCE_LOG))));

/** What the head of a response tells of its upstream's speed. */
export interface SpeedSample {
  /** Slowdown that the upstream reports; undefined if it does not. */
  readonly reported: number | undefined;
  /** Work whose times can be compared, as a key. */
  readonly kind: string;
  /** Units of that work; 0 if it was too little to tell. */
  readonly units: number;
  /** Time from the send to the head, in milliseconds. */
  readonly elapsedMs: number;
}

/**
 * Estimates how much longer work takes at one upstream than usually at its service, from the answers
 * that this VM gets, from those that are overdue and from what the upstream reports.
 *
 * Designed for upstreams that share their machines: some are slow for a part of a second, others for
 * long, and a VM gets answers from each of many only now and then.
 */
export class UpstreamSpeed {
  private lastingLog = 0;

  private recentLog = 0;

  private recentAtMs = -Infinity;

  /** Mean logarithm of the ratio between what answers show and what the upstream reports. */
  private reportErrorLog = 0;

  /** Requests of this VM whose heads have not come. */
  private waiting = 0;

  private waitingSinceMs = 0;

  private expectedMs = 0;

  /** The last estimates, which are kept for a moment. */
  private estimates = USUAL;

  private estimatedAtMs = -Infinity;

  constructor(private readonly service: ServiceSpeed) {}

  /** Whether the upstreams of its service are compared. */
  get isCompared(): boolean {
    return this.service.isReporting;
  }

  /** Mean time until the head of a response at the service, in milliseconds. */
  get usualHeadMs(): number {
    return this.service.headMs;
  }

  /** Time that work takes now, relative to what is usual at the service. */
  get slowdown(): number {
    return this.estimate().now;
  }

  /** The same without what may be over in a moment, for work that should not move for its sake. */
  get lastingSlowdown(): number {
    return this.estimate().lasting;
  }

  /** @param expectedMs expected time until the head of the response, in milliseconds */
  recordSend(expectedMs: number): void {
    if (this.waiting === 0) {
      this.waitingSinceMs = performance.now();
      this.expectedMs = 0;
    }
    this.waiting += 1;
    this.expectedMs = Math.max(this.expectedMs, expectedMs);
  }

  /** Records that a request is not waited for any more, with or without a head. */
  recordWaitEnd(hasHead: boolean): void {
    this.waiting = Math.max(0, this.waiting - 1);
    if (hasHead) this.waitingSinceMs = performance.now();
    this.estimatedAtMs = -Infinity;
  }

  /** Records the head of a sound response. */
  recordAnswer({ reported, kind, units, elapsedMs }: SpeedSample): void {
    const { service } = this;
    service.recordHead(elapsedMs);
    const reportedLog = reported === undefined ? undefined : this.compareReport(reported);
    const measuredLog = units > 0 ? service.recordTime(kind, elapsedMs / units) : undefined;
    if (reportedLog === undefined) {
      if (measuredLog !== undefined) this.addSample(measuredLog, UNREPORTED_WEIGHT);
      return;
    }
    if (measuredLog !== undefined) {
      this.reportErrorLog += (measuredLog - reportedLog - this.reportErrorLog) * MAX_SAMPLE_WEIGHT;
    }
    const errorLog = computeExcessLog(this.reportErrorLog, REPORT_ERROR_CHANCE_LOG);
    this.addSample(reportedLog + errorLog, 1);
  }

  /** Forgets all, because another process answers now. */
  reset(): void {
    this.lastingLog = 0;
    this.recentAtMs = -Infinity;
    this.reportErrorLog = 0;
    this.waitingSinceMs = performance.now();
    this.estimatedAtMs = -Infinity;
  }

  private compareReport(reported: number): number {
    return this.service.recordReport(
      Math.min(MAX_REPORTED_SLOWDOWN, Math.max(MIN_REPORTED_SLOWDOWN, reported)),
    );
  }

  private addSample(log: number, weight: number): void {
    const nowMs = performance.now();
    const beforeLog = this.computeLastingLog(nowMs);
    // Samples close together tell of the same moment.
    const sinceLastMs = nowMs - this.recentAtMs;
    const lastingWeight = Math.min(MAX_SAMPLE_WEIGHT, sinceLastMs / FULL_SAMPLE_MS);
    this.lastingLog = beforeLog + (log - beforeLog) * lastingWeight;
    this.recentLog = beforeLog + (log - beforeLog) * weight;
    this.recentAtMs = nowMs;
    this.estimatedAtMs = -Infinity;
  }

  private computeLastingLog(nowMs: number): number {
    return this.lastingLog * Math.exp((this.recentAtMs - nowMs) / LASTING_MS);
  }

  private estimate(): Slowdowns {
    if (!this.isCompared || (this.waiting === 0 && this.recentAtMs === -Infinity)) return USUAL;
    const nowMs = performance.now();
    if (nowMs - this.estimatedAtMs < ESTIMATE_TTL_MS) return this.estimates;
    const lastingLog = this.computeLastingLog(nowMs);
    const recentWeight = Math.exp((this.recentAtMs - nowMs) / RECENT_MS);
    const nowLog = lastingLog + (this.recentLog - lastingLog) * recentWeight;
    const overdueLog = this.computeOverdueLog(nowMs);
    this.estimates = {
      now: computeSlowdown(Math.max(nowLog, overdueLog)),
      lasting: computeSlowdown(Math.max(lastingLog, overdueLog)),
    };
    this.estimatedAtMs = nowMs;
    return this.estimates;
  }

  /** An upstream that has answered nothing since the first of the open requests may be slow. */
  private computeOverdueLog(nowMs: number): number {
    if (this.waiting === 0) return -Infinity;
    const usualMs = Math.max(MIN_OVERDUE_MS, this.expectedMs, this.service.headMs);
    const ratio = (nowMs - this.waitingSinceMs) / usualMs;
    if (ratio < OVERDUE_RATIO) return -Infinity;
    return Math.log(Math.min(MAX_OVERDUE_SLOWDOWN, ratio / OVERDUE_QUEUE_RATIO));
  }
}
