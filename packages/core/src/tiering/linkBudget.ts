import {
  MAX_EXPORT_BURST_S,
  EXPORT_LINK_FRACTION,
  LINK_RATE_EWMA_WEIGHT,
  MAX_CONCURRENT_EXPORTS_PER_LINK,
} from './constants.js';

const MS_PER_S = 1000;

/** Transfer over a link, started by this VM. */
export interface LinkTransfer {
  readonly kind: 'import' | 'export';
  readonly bytes: number;
  readonly startedAtMs: number;
  /** Transfers on the link when this one started, including itself. */
  readonly concurrentTransfers: number;
}

/**
 * Bandwidth of one store VM's link: estimates the duration of imports and limits exports, which
 * have lower priority. Exports get a fixed share of the link while imports are running, and the
 * entire link while there are none.
 */
export class LinkBudget {
  private readonly transfers = new Set<LinkTransfer>();

  private otherTransfers = 0;

  private exportBudgetBytes = 0;

  private refilledAtMs = Date.now();

  private throughputFactor = 1;

  constructor(private nominalBytesPerSecond: number) {}

  /** Observed rate of the link, in bytes per second. */
  get bytesPerSecond(): number {
    return this.nominalBytesPerSecond * this.throughputFactor;
  }

  /** Applies the link rate and the number of transfers that the store VM reports. */
  applyReport(bytesPerSecond: number, activeTransfers: number): void {
    this.nominalBytesPerSecond = bytesPerSecond;
    this.otherTransfers = Math.max(0, activeTransfers - this.transfers.size);
  }

  /** Estimates the duration of an import that shares the link with the current transfers. */
  estimateImportMs(bytes: number): number {
    const nowMs = Date.now();
    let competingBytes = this.otherTransfers * bytes;
    for (const transfer of this.transfers) {
      competingBytes += Math.min(bytes, this.estimateRemainingBytes(transfer, nowMs));
    }
    return ((bytes + competingBytes) / this.bytesPerSecond) * MS_PER_S;
  }

  /** Starts an import without a limit, since a prompt is waiting for it. */
  beginImport(bytes: number): LinkTransfer {
    return this.begin('import', bytes);
  }

  /** Returns whether an export may start now. */
  canExport(bytes: number): boolean {
    this.refreshBudget();
    const exports = this.countExports();
    if (exports >= MAX_CONCURRENT_EXPORTS_PER_LINK) return false;
    const isIdle = exports === this.transfers.size && this.otherTransfers === 0;
    return isIdle || this.exportBudgetBytes >= bytes;
  }

  /** Starts an export; undefined if it may not start now. */
  tryBeginExport(bytes: number): LinkTransfer | undefined {
    if (!this.canExport(bytes)) return undefined;
    this.exportBudgetBytes = Math.max(0, this.exportBudgetBytes - bytes);
    return this.begin('export', bytes);
  }

  /** Ends a transfer and updates the observed rate of the link. */
  finish(transfer: LinkTransfer, succeeded: boolean): void {
    if (!this.transfers.delete(transfer) || !succeeded) return;
    const elapsedS = (Date.now() - transfer.startedAtMs) / MS_PER_S;
    if (elapsedS <= 0) return;
    const rateFraction = transfer.bytes / elapsedS / this.nominalBytesPerSecond;
    const observedFactor = Math.min(1, rateFraction * transfer.concurrentTransfers);
    this.throughputFactor += LINK_RATE_EWMA_WEIGHT * (observedFactor - this.throughputFactor);
  }

  private countExports(): number {
    let count = 0;
    for (const { kind } of this.transfers) if (kind === 'export') count += 1;
    return count;
  }

  private begin(kind: LinkTransfer['kind'], bytes: number): LinkTransfer {
    const concurrentTransfers = this.transfers.size + this.otherTransfers + 1;
    const transfer: LinkTransfer = { kind, bytes, startedAtMs: Date.now(), concurrentTransfers };
    this.transfers.add(transfer);
    return transfer;
  }

  private estimateRemainingBytes(transfer: LinkTransfer, nowMs: number): number {
    const shareBytesPerSecond = this.bytesPerSecond / Math.max(1, transfer.concurrentTransfers);
    const transferredBytes = ((nowMs - transfer.startedAtMs) / MS_PER_S) * shareBytesPerSecond;
    return Math.max(0, transfer.bytes - transferredBytes);
  }

  private refreshBudget(): void {
    const nowMs = Date.now();
    const refillBytesPerSecond = this.bytesPerSecond * EXPORT_LINK_FRACTION;
    const refilledBytes = ((nowMs - this.refilledAtMs) / MS_PER_S) * refillBytesPerSecond;
    this.exportBudgetBytes = Math.min(
      refillBytesPerSecond * MAX_EXPORT_BURST_S,
      this.exportBudgetBytes + refilledBytes,
    );
    this.refilledAtMs = nowMs;
  }
}
