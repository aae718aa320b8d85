import type { RandomGenerator } from 'pure-rand/types/RandomGenerator';
import type { EditId, LogOffset } from '../ids.js';
import type { LogStream } from '../log/index.js';
import type { BaseOffset, RowChange } from './records.js';
import { TableReplica } from './replica.js';
import type { EditRejection, TableFold } from './tableFold.js';
import { createConfigTable } from './tableView.js';
import type { ConfigTable } from './tableView.js';

/** How an edit ended. */
export type EditOutcome =
  | { readonly type: 'accepted'; readonly editId: EditId; readonly offset: LogOffset }
  | { readonly type: 'rejected'; readonly editId: EditId; readonly rejection: EditRejection }
  /** It may still take effect; read the row later to find out. */
  | { readonly type: 'unknown'; readonly editId: EditId };

/** Options of an edit. */
export interface EditOptions {
  /** Offset of the row's version that the operator saw. @default the newest version */
  readonly baseOffset?: BaseOffset;
  readonly signal?: AbortSignal;
}

/** Options of an editor. */
export interface TableEditorOptions {
  /** @default seeded at random */
  readonly generator?: RandomGenerator;
  /** @default EDIT_TIMEOUT_MS */
  readonly timeoutMs?: number;
  /** @default compare-and-set */
  readonly fold?: TableFold;
}

/** Edits the table through its log stream. */
export abstract class TableEditor {
  protected readonly replica: TableReplica;

  constructor(
    protected readonly stream: LogStream,
    fold?: TableFold,
  ) {
    this.replica = new TableReplica(stream, fold);
  }

  /**
   * Makes one edit.
   *
   * @throws a refusal `log_unavailable` where nothing was appended
   */
  abstract applyChange(change: RowChange, options?: EditOptions): Promise<EditOutcome>;

  /** Reads the table as it is now. */
  async readTable(signal?: AbortSignal): Promise<ConfigTable> {
    await this.readToHead(signal);
    return createConfigTable(this.replica.state);
  }

  protected async readToHead(signal?: AbortSignal): Promise<void> {
    const options = signal ? { signal } : {};
    while (!(await this.replica.readNext(options)).atHead);
  }
}
