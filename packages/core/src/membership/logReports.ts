import type { LogOffset, VmId } from '../ids.js';
import { PEER_REPORT_MAX_AGE_MS } from './constants.js';
import type { LogReport, LogStamp } from './freshness.js';

interface DatedStamp {
  readonly headOffset: LogOffset;
  /** Time at which the read was begun at the latest, by the monotonic clock, in milliseconds. */
  readonly knownAtMs: number;
}

interface PeerReport {
  readonly canReadLog: boolean;
  readonly stamp: DatedStamp | undefined;
  readonly askedAtMs: number;
}

const chooseNewer = (
  left: DatedStamp | undefined,
  right: DatedStamp | undefined,
): DatedStamp | undefined => {
  if (!left || !right) return left ?? right;
  return right.knownAtMs > left.knownAtMs ? right : left;
};

const toStamp = (stamp: DatedStamp): LogStamp => ({
  headOffset: stamp.headOffset,
  ageMs: performance.now() - stamp.knownAtMs,
});

/** Keeps this VM's and its peers' reports of the log's head. Times count from the question. */
export class LogReports {
  private canReadLog = false;

  private best: DatedStamp | undefined;

  private readonly peers = new Map<VmId, PeerReport>();

  /** Notes a successful read that was begun at a time of the monotonic clock. */
  noteRead(headOffset: LogOffset, startedAtMs: number): void {
    this.canReadLog = true;
    this.best = chooseNewer(this.best, { headOffset, knownAtMs: startedAtMs });
  }

  /** Notes that the log did not answer. */
  noteFailure(): void {
    this.canReadLog = false;
  }

  /** Adds a peer's report; its age counts from when the peer was asked. */
  addPeerReport(vmId: VmId, report: Omit<LogReport, 'ageMs'>, askedAtMs: number): void {
    const stamp = report.stamp && {
      headOffset: report.stamp.headOffset,
      knownAtMs: askedAtMs - report.stamp.ageMs,
    };
    this.peers.set(vmId, { canReadLog: report.canReadLog, stamp, askedAtMs });
    this.best = chooseNewer(this.best, stamp);
  }

  /** Gives this VM's report. */
  getOwn(): LogReport {
    const stamp = this.best && toStamp(this.best);
    return { canReadLog: this.canReadLog, ageMs: 0, ...(stamp ? { stamp } : {}) };
  }

  /** Lists the peers' reports that are not too old, and forgets the others. */
  listPeers(): readonly LogReport[] {
    const nowMs = performance.now();
    return [...this.peers].flatMap(([vmId, report]) => {
      const ageMs = nowMs - report.askedAtMs;
      if (ageMs > PEER_REPORT_MAX_AGE_MS) {
        this.peers.delete(vmId);
        return [];
      }
      // The stamp's age up to the question; `ageMs` adds the time since.
      const stamp = report.stamp && {
        headOffset: report.stamp.headOffset,
        ageMs: report.askedAtMs - report.stamp.knownAtMs,
      };
      return { canReadLog: report.canReadLog, ageMs, ...(stamp ? { stamp } : {}) };
    });
  }
}
