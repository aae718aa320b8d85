import type { LoadSource } from '../fleet/peerLoads.js';
import type { ServiceName } from '../ids.js';

/** Places for which requests of one service and priority wait in a VM or a zone. */
export interface WaitingRow {
  readonly service: ServiceName;
  readonly priority: number;
  readonly places: number;
}

/** Places for which requests wait in other VMs, in relation to one priority. */
export interface ToldWaiting {
  readonly moreUrgent: number;
  readonly equal: number;
}

interface WaitingReport {
  readonly rows: readonly WaitingRow[];
  readonly receivedAtMs: number;
}

const findKey = ({ service, priority }: WaitingRow): string => `${priority}/${service}`;

/** Sums rows by service and priority; rows that come to nothing are left out. */
export const sumWaiting = (lists: readonly (readonly WaitingRow[])[]): readonly WaitingRow[] => {
  const sums = new Map<string, WaitingRow>();
  lists.flat().forEach((row) => {
    const places = row.places + (sums.get(findKey(row))?.places ?? 0);
    sums.set(findKey(row), { ...row, places });
  });
  return [...sums.values()].filter(({ places }) => places > 0);
};

/** Subtracts one VM's rows from sums that include them. */
export const subtractWaiting = (
  total: readonly WaitingRow[],
  part: readonly WaitingRow[],
): readonly WaitingRow[] =>
  sumWaiting([total, part.map((row) => ({ ...row, places: -row.places }))]);

/** What other VMs and the relays of zones told of their waiting requests; reports expire. */
export class PeerWaiting {
  private readonly reports = new Map<LoadSource, WaitingReport>();

  private lastHeardAtMs = -Infinity;

  /** @param maxAgeMs age at which a report expires, in milliseconds */
  constructor(private readonly maxAgeMs: number) {}

  /** Time since any VM told anything, in milliseconds. */
  get unheardMs(): number {
    return performance.now() - this.lastHeardAtMs;
  }

  recordReport(source: LoadSource, rows: readonly WaitingRow[]): void {
    this.lastHeardAtMs = performance.now();
    if (rows.length === 0) this.reports.delete(source);
    else this.reports.set(source, { rows, receivedAtMs: this.lastHeardAtMs });
  }

  /** Sums what waits elsewhere for a service. */
  sum(service: ServiceName, priority: number): ToldWaiting {
    const oldestMs = performance.now() - this.maxAgeMs;
    let moreUrgent = 0;
    let equal = 0;
    this.reports.forEach(({ rows, receivedAtMs }, source) => {
      if (receivedAtMs < oldestMs) this.reports.delete(source);
      else {
        rows.forEach((row) => {
          if (row.service !== service) return;
          if (row.priority < priority) moreUrgent += row.places;
          else if (row.priority === priority) equal += row.places;
        });
      }
    });
    return { moreUrgent, equal };
  }
}
