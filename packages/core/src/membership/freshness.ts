import type { LogOffset } from '../ids.js';
import { MAX_LOG_HEAD_AGE_MS, PEER_LOG_REPORT_MAX_AGE_MS } from './constants.js';

/** A known log head and an upper bound of its age. */
export interface LogHead {
  readonly headOffset: LogOffset;
  /** Time since the read was started, in milliseconds; ages accumulate when a head is forwarded. */
  readonly ageMs: number;
}

/** What one VM knows about the log. */
export interface LogReport {
  /** Whether the VM's own last read of the log succeeded. */
  readonly isLogReachable: boolean;
  /** Newest known head, from the VM's own reads or from a peer. */
  readonly head?: LogHead;
  /** Time since this VM requested the report from the peer, in milliseconds; 0 for its own. */
  readonly ageMs: number;
}

/** Input of the freshness decision. */
export interface FreshnessInput {
  /** Offset up to which this VM has applied the configuration table's records. */
  readonly appliedOffset: LogOffset;
  readonly own: LogReport;
  readonly peers: readonly LogReport[];
  /** Number of entry VMs in the last VM list that was read, including this VM. */
  readonly knownVmCount: number;
  /** Number of these entry VMs that are reachable, including this VM. */
  readonly reachableVmCount: number;
}

/** Whether new requests may be accepted with the current configuration. */
export type Freshness =
  | { readonly accept: true; readonly reason: 'fresh' | 'log_down_for_majority' }
  | { readonly accept: false; readonly reason: 'stale' | 'alone' };

const isHeadFresh = (report: LogReport, appliedOffset: LogOffset): boolean => {
  const { head } = report;
  if (!head || head.headOffset > appliedOffset) return false;
  return head.ageMs + report.ageMs <= MAX_LOG_HEAD_AGE_MS;
};

const isBehindPeer = (report: LogReport, appliedOffset: LogOffset): boolean =>
  (report.head?.headOffset ?? appliedOffset) > appliedOffset;

/**
 * Decides whether the configuration is fresh enough to accept new requests. It is fresh if a log
 * head no older than the limit has been applied. It is also accepted if a majority of the known
 * VMs is reachable and all recent reports find the log unreachable, since then no edit can have
 * been made.
 */
export const decideFreshness = (input: FreshnessInput): Freshness => {
  const { appliedOffset, own, peers } = input;
  if ([own, ...peers].some((report) => isHeadFresh(report, appliedOffset))) {
    return { accept: true, reason: 'fresh' };
  }
  const recentReports = peers.filter((report) => report.ageMs <= PEER_LOG_REPORT_MAX_AGE_MS);
  const isLogReachable = [own, ...recentReports].some((report) => report.isLogReachable);
  const isBehind = recentReports.some((report) => isBehindPeer(report, appliedOffset));
  if (isLogReachable || isBehind) return { accept: false, reason: 'stale' };
  const isMajority = input.reachableVmCount * 2 > input.knownVmCount;
  const hasPeerReports = input.knownVmCount === 1 || recentReports.length > 0;
  return isMajority && hasPeerReports
    ? { accept: true, reason: 'log_down_for_majority' }
    : { accept: false, reason: 'alone' };
};
