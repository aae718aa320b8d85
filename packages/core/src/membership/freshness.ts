import type { LogOffset } from '../ids.js';
import { MAX_LOG_HEAD_AGE_MS, PEER_REPORT_MAX_AGE_MS } from './constants.js';

/** A known log head and an upper bound of its age. */
export interface LogStamp {
  readonly headOffset: LogOffset;
  /** Time since the read was started, in milliseconds; ages accumulate when a head is forwarded. */
  readonly ageMs: number;
}

/** What one VM knows about the log. */
export interface LogReport {
  /** Whether the VM's own last read of the log succeeded. */
  readonly canReadLog: boolean;
  /** Newest known head, from the VM's own reads or from a peer. */
  readonly stamp?: LogStamp;
  /** Time since this VM requested the report from the peer, in milliseconds; 0 for its own. */
  readonly ageMs: number;
}

/** Input of the freshness decision. */
export interface FreshnessInput {
  /** Offset up to which this VM has applied the configuration table's records. */
  readonly foldedOffset: LogOffset;
  readonly own: LogReport;
  readonly peers: readonly LogReport[];
  /** Number of entry VMs in the last VM list that was read, including this VM. */
  readonly knownVms: number;
  /** Number of these entry VMs that are reachable, including this VM. */
  readonly heardVms: number;
}

/** Whether new requests may be accepted with the current configuration. */
export type Freshness =
  | { readonly accept: true; readonly reason: 'fresh' | 'log_down_for_majority' }
  | { readonly accept: false; readonly reason: 'stale' | 'alone' };

const isHeadFresh = (report: LogReport, foldedOffset: LogOffset): boolean => {
  const { stamp: head } = report;
  if (!head || head.headOffset > foldedOffset) return false;
  return head.ageMs + report.ageMs <= MAX_LOG_HEAD_AGE_MS;
};

const isBehindPeer = (report: LogReport, foldedOffset: LogOffset): boolean =>
  (report.stamp?.headOffset ?? foldedOffset) > foldedOffset;

/**
 * Decides whether the configuration is fresh enough to accept new requests. It is fresh if a log
 * head no older than the limit has been applied. It is also accepted if a majority of the known
 * VMs is reachable and all recent reports find the log unreachable, since then no edit can have
 * been made.
 */
export const decideFreshness = (input: FreshnessInput): Freshness => {
  const { foldedOffset, own, peers } = input;
  if ([own, ...peers].some((report) => isHeadFresh(report, foldedOffset))) {
    return { accept: true, reason: 'fresh' };
  }
  const recentReports = peers.filter((report) => report.ageMs <= PEER_REPORT_MAX_AGE_MS);
  const isLogReachable = [own, ...recentReports].some((report) => report.canReadLog);
  const isBehind = recentReports.some((report) => isBehindPeer(report, foldedOffset));
  if (isLogReachable || isBehind) return { accept: false, reason: 'stale' };
  const isMajority = input.heardVms * 2 > input.knownVms;
  const hasPeerReports = input.knownVms === 1 || recentReports.length > 0;
  return isMajority && hasPeerReports
    ? { accept: true, reason: 'log_down_for_majority' }
    : { accept: false, reason: 'alone' };
};
