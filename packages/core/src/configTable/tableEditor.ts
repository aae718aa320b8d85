import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { EditId, LogOffset } from '../ids.js';
import type { LogStream } from '../log/index.js';
import type { BaseOffset, RowChange } from './records.js';
import { TableReplica } from './tableReplica.js';
import type { EditRejection, TableStateMachine } from './tableStateMachine.js';
import { createConfigTable } from './tableView.js';
import type { ConfigTable } from './tableView.js';

/** Outcome of an edit. */
export type EditOutcome =
  | { readonly type: 'accepted'; readonly editId: EditId; readonly offset: LogOffset }
  | { readonly type: 'rejected'; readonly editId: EditId; readonly rejection: EditRejection }
  /** The edit may still take effect; read the row later to find out. */
  | { readonly type: 'unknown'; readonly editId: EditId };

/** Options of an edit. */
export interface EditOptions {
  /** Offset of the row version that the edit is based on. @default the newest version */
  readonly baseOffset?: BaseOffset;
  readonly signal?: AbortSignal;
}

/** Options of an editor. */
export interface TableEditorOptions {
  /** @default a randomly seeded generator */
  readonly generator?: RandomGenerator;
  /** @default EDIT_TIMEOUT_MS */
  readonly timeoutMs?: number;
  /** @default compare-and-set */
  readonly stateMachine?: TableStateMachine;
}

/** Edits the table through its log stream. */
export abstract class TableEditor {
  protected readonly replica: TableReplica;

  constructor(
    protected readonly stream: LogStream,
    stateMachine?: TableStateMachine,
  ) {
    this.replica = new TableReplica(stream, stateMachine);
  }

  /**
   * Submits one edit.
   *
   * @throws a GoldcrestError with code `log_unavailable` if nothing was appended
   */
  abstract applyChange(change: RowChange, options?: EditOptions): Promise<EditOutcome>;

  /** Reads the current table. */
  async readTable(signal?: AbortSignal): Promise<ConfigTable> {
    await this.readToHead(signal);
    return createConfigTable(this.replica.state);
  }

  protected async readToHead(signal?: AbortSignal): Promise<void> {
    const options = signal ? { signal } : {};
    while (!(await this.replica.readNext(options)).atHead);
  }
}
