import type { BaseOffset, EditOutcome, RowChange, TableState } from '@goldcrestscale/core';

/** Reads and edits the configuration table. */
export abstract class TableClient {
  /** Reads the table as it is now. */
  abstract readState(signal: AbortSignal): Promise<TableState>;

  /** Makes one edit of a row whose version is `baseOffset`; settles once it is read back. */
  abstract applyChange(
    change: RowChange,
    baseOffset: BaseOffset,
    signal: AbortSignal,
  ): Promise<EditOutcome>;

  /** Gives each newer state of the table until the signal aborts. */
  abstract watchStates(signal: AbortSignal): AsyncIterable<TableState>;
}
