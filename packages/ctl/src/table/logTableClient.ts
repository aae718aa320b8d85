import { createTableEditor, LogError, sleep, TableReplica } from '@goldcrestscale/core';
import type {
  BaseOffset,
  EditOutcome,
  LogStream,
  RowChange,
  TableEditor,
  TableState,
} from '@goldcrestscale/core';
import { CliError, exitCodes } from '@goldcrestscale/runtime';
import { WATCH_RETRY_MS, WATCH_WAIT_MS } from '../constants.js';
import { TableClient } from './tableClient.js';

/** Table client that folds the log by itself; it needs no entry VM. */
class LogTableClient extends TableClient {
  private readonly replica: TableReplica;

  private readonly editor: TableEditor;

  constructor(stream: LogStream, timeoutMs: number) {
    super();
    this.replica = new TableReplica(stream);
    this.editor = createTableEditor(stream, { timeoutMs });
  }

  override async readState(signal: AbortSignal): Promise<TableState> {
    try {
      while (!(await this.replica.readNext({ signal })).atHead);
      return this.replica.state;
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      throw new CliError(`the log does not answer: ${error.message}`, exitCodes.unavailable);
    }
  }

  override applyChange(
    change: RowChange,
    baseOffset: BaseOffset,
    signal: AbortSignal,
  ): Promise<EditOutcome> {
    return this.editor.applyChange(change, { baseOffset, signal });
  }

  override async *watchStates(signal: AbortSignal): AsyncIterable<TableState> {
    let shownOffset = -1;
    while (!signal.aborted) {
      const atHead = await this.tryRead(shownOffset < 0 ? 0 : WATCH_WAIT_MS, signal);
      if (atHead && this.replica.state.nextOffset > shownOffset) {
        shownOffset = this.replica.state.nextOffset;
        yield this.replica.state;
      }
    }
  }

  /** @returns whether the table is at the head of the log */
  private async tryRead(waitMs: number, signal: AbortSignal): Promise<boolean> {
    try {
      return (await this.replica.readNext({ waitMs, signal })).atHead;
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      await sleep(WATCH_RETRY_MS, signal);
      return false;
    }
  }
}

/** Creates the client that edits the table through its stream of the log. */
export const createLogTableClient = (stream: LogStream, timeoutMs: number): TableClient =>
  new LogTableClient(stream, timeoutMs);
