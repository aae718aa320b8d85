import type { LogOffset } from '../ids.js';
import { FRESHNESS_BOUND_MS, PEER_REPORT_MAX_AGE_MS } from './constants.js';

/** Where the head of the log was, and how long ago that was known at most. */
export interface LogStamp {
  readonly headOffset: LogOffset;
  /** Time since the read was begun, in milliseconds; ages add up when a stamp is passed on. */
  readonly ageMs: number;
}

/** What one VM knows of the log. */
export interface LogReport {
  /** Whether its own last read of the log succeeded. */
  readonly canReadLog: boolean;
  /** Newest stamp that it has, its own or a peer's. */
  readonly stamp?: LogStamp;
  /** Time since this VM asked the peer for the report, in milliseconds; 0 for its own. */
  readonly ageMs: number;
}

/** Everything that the decision depends on. */
export interface FreshnessInput {
  /** Offset up to which this VM has folded the configuration table. */
  readonly foldedOffset: LogOffset;
  readonly own: LogReport;
  readonly peers: readonly LogReport[];
  /** Entry VMs of the last VM list that was read, this one included. */
  readonly knownVms: number;
  /** Entry VMs among them that are heard of, this one included. */
  readonly heardVms: number;
}

/** Whether new work may be accepted under the configuration at hand. */
export type Freshness =
  | { readonly accept: true; readonly reason: 'fresh' | 'log_down_for_majority' }
  | { readonly accept: false; readonly reason: 'stale' | 'alone' };

const isStampFresh = (report: LogReport, foldedOffset: LogOffset): boolean => {
  const { stamp } = report;
  if (!stamp || stamp.headOffset > foldedOffset) return false;
  return stamp.ageMs + report.ageMs <= FRESHNESS_BOUND_MS;
};

const isBehindPeer = (report: LogReport, foldedOffset: LogOffset): boolean =>
  (report.stamp?.headOffset ?? foldedOffset) > foldedOffset;

/**
 * Decides whether the configuration is fresh enough for new work. It is when the log's head was
 * known within the bound and is folded. It also is when more than half of the known VMs are heard
 * and every one of those asked finds the log down, since then nobody can have edited the table.
 */
export const decideFreshness = (input: FreshnessInput): Freshness => {
  const { foldedOffset, own, peers } = input;
  if ([own, ...peers].some((report) => isStampFresh(report, foldedOffset))) {
    return { accept: true, reason: 'fresh' };
  }
  const recent = peers.filter((report) => report.ageMs <= PEER_REPORT_MAX_AGE_MS);
  const isLogSeen = [own, ...recent].some((report) => report.canReadLog);
  const isBehind = recent.some((report) => isBehindPeer(report, foldedOffset));
  if (isLogSeen || isBehind) return { accept: false, reason: 'stale' };
  const isMajority = input.heardVms * 2 > input.knownVms;
  const isAsked = input.knownVms === 1 || recent.length > 0;
  return isMajority && isAsked
    ? { accept: true, reason: 'log_down_for_majority' }
    : { accept: false, reason: 'alone' };
};
