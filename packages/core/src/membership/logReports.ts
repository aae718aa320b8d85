import type { LogOffset, VmId } from '../ids.js';
import { PEER_LOG_REPORT_MAX_AGE_MS } from './constants.js';
import type { LogReport, LogHead } from './freshness.js';

interface ObservedHead {
  readonly headOffset: LogOffset;
  /** Latest possible start of the read, by the monotonic clock, in milliseconds. */
  readonly observedAtMs: number;
}

interface PeerReport {
  readonly isLogReachable: boolean;
  readonly head: ObservedHead | undefined;
  readonly requestedAtMs: number;
}

const pickNewer = (
  left: ObservedHead | undefined,
  right: ObservedHead | undefined,
): ObservedHead | undefined => {
  if (!left || !right) return left ?? right;
  return right.observedAtMs > left.observedAtMs ? right : left;
};

const toLogHead = (head: ObservedHead): LogHead => ({
  headOffset: head.headOffset,
  ageMs: performance.now() - head.observedAtMs,
});

/** Stores this VM's and its peers' reports of the log head. Ages count from the request. */
export class LogReports {
  private isLogReachable = false;

  private newestHead: ObservedHead | undefined;

  private readonly peers = new Map<VmId, PeerReport>();

  /** Records a successful read and its start by the monotonic clock. */
  recordRead(headOffset: LogOffset, startedAtMs: number): void {
    this.isLogReachable = true;
    this.newestHead = pickNewer(this.newestHead, { headOffset, observedAtMs: startedAtMs });
  }

  /** Records a failed read. */
  recordFailure(): void {
    this.isLogReachable = false;
  }

  /** Stores a peer's report; its age counts from when it was requested. */
  addPeerReport(vmId: VmId, report: Omit<LogReport, 'ageMs'>, requestedAtMs: number): void {
    const head = report.head && {
      headOffset: report.head.headOffset,
      observedAtMs: requestedAtMs - report.head.ageMs,
    };
    this.peers.set(vmId, { isLogReachable: report.isLogReachable, head, requestedAtMs });
    this.newestHead = pickNewer(this.newestHead, head);
  }

  /** Returns this VM's report. */
  getOwn(): LogReport {
    const head = this.newestHead && toLogHead(this.newestHead);
    return { isLogReachable: this.isLogReachable, ageMs: 0, ...(head ? { head } : {}) };
  }

  /** Lists the peers' reports that have not expired and removes the expired ones. */
  listPeers(): readonly LogReport[] {
    const nowMs = performance.now();
    return [...this.peers].flatMap(([vmId, report]) => {
      const ageMs = nowMs - report.requestedAtMs;
      if (ageMs > PEER_LOG_REPORT_MAX_AGE_MS) {
        this.peers.delete(vmId);
        return [];
      }
      // The head's age when it was requested; `ageMs` adds the time since then.
      const head = report.head && {
        headOffset: report.head.headOffset,
        ageMs: report.requestedAtMs - report.head.observedAtMs,
      };
      return { isLogReachable: report.isLogReachable, ageMs, ...(head ? { head } : {}) };
    });
  }
}
