import {
  EXPORT_BURST_S,
  EXPORT_LINK_SHARE,
  LINK_LEARN_RATE,
  MAX_EXPORTS_PER_LINK,
} from './constants.js';

const MS_PER_S = 1000;

/** One transfer over a link that this VM has ordered. */
export interface LinkTransfer {
  readonly kind: 'import' | 'export';
  readonly bytes: number;
  readonly startedAtMs: number;
  /** Transfers on the link when this one began, itself included. */
  readonly sharers: number;
}

/**
 * The link of one store VM: estimates imports at the present share and admits exports behind
 * them. Exports have a fixed share while prompts import, and the rest of the link when it idles.
 */
export class LinkBudget {
  private readonly transfers = new Set<LinkTransfer>();

  private otherTransfers = 0;

  private exportBytes = 0;

  private refilledAtMs = Date.now();

  private learnedFactor = 1;

  constructor(private nominalBytesPerSecond: number) {}

  /** Rate of the whole link as learned, in bytes a second. */
  get bytesPerSecond(): number {
    return this.nominalBytesPerSecond * this.learnedFactor;
  }

  /** Takes in what the store VM reports. */
  applyReport(bytesPerSecond: number, activeTransfers: number): void {
    this.nominalBytesPerSecond = bytesPerSecond;
    this.otherTransfers = Math.max(0, activeTransfers - this.transfers.size);
  }

  /** Estimates how long an import takes when it shares the link with what runs now. */
  estimateMs(bytes: number): number {
    const nowMs = Date.now();
    let ahead = this.otherTransfers * bytes;
    for (const transfer of this.transfers) {
      ahead += Math.min(bytes, this.estimateRemaining(transfer, nowMs));
    }
    return ((bytes + ahead) / this.bytesPerSecond) * MS_PER_S;
  }

  /** Starts an import at once; a prompt waits for it. */
  beginImport(bytes: number): LinkTransfer {
    return this.begin('import', bytes);
  }

  /** Tells whether the link has room for an export now. */
  canExport(bytes: number): boolean {
    this.refreshBudget();
    const exports = this.countExports();
    if (exports >= MAX_EXPORTS_PER_LINK) return false;
    const isIdle = exports === this.transfers.size && this.otherTransfers === 0;
    return isIdle || this.exportBytes >= bytes;
  }

  /** Starts an export where the link has room for it; undefined where it has to wait. */
  tryBeginExport(bytes: number): LinkTransfer | undefined {
    if (!this.canExport(bytes)) return undefined;
    this.exportBytes = Math.max(0, this.exportBytes - bytes);
    return this.begin('export', bytes);
  }

  /** Ends a transfer and learns the link's rate from it. */
  finish(transfer: LinkTransfer, succeeded: boolean): void {
    if (!this.transfers.delete(transfer) || !succeeded) return;
    const tookS = (Date.now() - transfer.startedAtMs) / MS_PER_S;
    if (tookS <= 0) return;
    const share = transfer.bytes / tookS / this.nominalBytesPerSecond;
    const factor = Math.min(1, share * transfer.sharers);
    this.learnedFactor += LINK_LEARN_RATE * (factor - this.learnedFactor);
  }

  private countExports(): number {
    let count = 0;
    for (const { kind } of this.transfers) if (kind === 'export') count += 1;
    return count;
  }

  private begin(kind: LinkTransfer['kind'], bytes: number): LinkTransfer {
    const sharers = this.transfers.size + this.otherTransfers + 1;
    const transfer: LinkTransfer = { kind, bytes, startedAtMs: Date.now(), sharers };
    this.transfers.add(transfer);
    return transfer;
  }

  private estimateRemaining(transfer: LinkTransfer, nowMs: number): number {
    const share = this.bytesPerSecond / Math.max(1, transfer.sharers);
    const done = ((nowMs - transfer.startedAtMs) / MS_PER_S) * share;
    return Math.max(0, transfer.bytes - done);
  }

  private refreshBudget(): void {
    const nowMs = Date.now();
    const rate = this.bytesPerSecond * EXPORT_LINK_SHARE;
    const gained = ((nowMs - this.refilledAtMs) / MS_PER_S) * rate;
    this.exportBytes = Math.min(rate * EXPORT_BURST_S, this.exportBytes + gained);
    this.refilledAtMs = nowMs;
  }
}
