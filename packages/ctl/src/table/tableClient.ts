import type { BaseOffset, EditOutcome, RowChange, TableState } from '@goldcrestscale/core';

/** Reads and edits the configuration table. */
export abstract class TableClient {
  /** Reads the current table. */
  abstract readState(signal: AbortSignal): Promise<TableState>;

  /**
   * Appends one edit of a row whose current version is `baseOffset`; resolves once the edit has been
   * read back from the log.
   */
  abstract applyChange(
    change: RowChange,
    baseOffset: BaseOffset,
    signal: AbortSignal,
  ): Promise<EditOutcome>;

  /** Yields each newer state of the table until the signal aborts. */
  abstract watchStates(signal: AbortSignal): AsyncIterable<TableState>;
}
