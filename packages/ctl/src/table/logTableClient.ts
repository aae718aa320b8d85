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
import { WATCH_RETRY_DELAY_MS, WATCH_LONG_POLL_MS } from '../constants.js';
import { TableClient } from './tableClient.js';

/** Table client that replays the log into its own replica, so it works without an entry VM. */
class LogTableClient extends TableClient {
  private readonly replica: TableReplica;

  private readonly editor: TableEditor;

  constructor(stream: LogStream, editTimeoutMs: number) {
    super();
    this.replica = new TableReplica(stream);
    this.editor = createTableEditor(stream, { timeoutMs: editTimeoutMs });
  }

  override async readState(signal: AbortSignal): Promise<TableState> {
    try {
      while (!(await this.replica.readNext({ signal })).atHead);
      return this.replica.state;
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      throw new CliError(`the log is unavailable: ${error.message}`, exitCodes.unavailable);
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
    let yieldedOffset = -1;
    while (!signal.aborted) {
      const atHead = await this.tryReadLog(yieldedOffset < 0 ? 0 : WATCH_LONG_POLL_MS, signal);
      if (atHead && this.replica.state.nextOffset > yieldedOffset) {
        yieldedOffset = this.replica.state.nextOffset;
        yield this.replica.state;
      }
    }
  }

  /** Reads the next records. @returns whether the replica has reached the head of the log */
  private async tryReadLog(waitMs: number, signal: AbortSignal): Promise<boolean> {
    try {
      return (await this.replica.readNext({ waitMs, signal })).atHead;
    } catch (error) {
      if (!(error instanceof LogError)) throw error;
      await sleep(WATCH_RETRY_DELAY_MS, signal);
      return false;
    }
  }
}

/** Creates a client that reads and edits the table through its log stream. */
export const createLogTableClient = (stream: LogStream, editTimeoutMs: number): TableClient =>
  new LogTableClient(stream, editTimeoutMs);
