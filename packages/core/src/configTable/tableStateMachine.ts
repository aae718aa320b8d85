import type { EditId, LogOffset } from '../ids.js';
import { toLogOffset } from '../ids.js';
import type { LogRecord } from '../log/index.js';
import { DELETED_ROW_RETENTION_MS, INVALID_EDIT_RETENTION_MS } from './constants.js';
import { tableRecordSchema } from './records.js';
import type { EditRecord } from './records.js';
import { getChangedKey } from './tableState.js';
import type { DeletedRow, TableState, VersionedRow } from './tableState.js';
import type { RowKey } from './rows.js';

/** Reason for rejecting an edit. */
export type EditRejection =
  /** Another edit of the row was accepted first. */
  | {
      readonly reason: 'conflict';
      readonly conflictingEditId?: EditId;
      readonly conflictingOffset?: LogOffset;
    }
  /** The change is inconsistent with the other rows. */
  | { readonly reason: 'invalid'; readonly problems: readonly string[] };

/** Result of one edit, determined by log order. */
export interface EditResult {
  readonly editId: EditId;
  readonly offset: LogOffset;
  /** Absent for an accepted edit. */
  readonly rejection?: EditRejection;
}

/** A state and the results of the edits applied to reach it. */
export interface ApplyResult {
  readonly state: TableState;
  readonly results: readonly EditResult[];
}

interface MutableTableState {
  nextOffset: LogOffset;
  readonly rows: Map<RowKey, VersionedRow>;
  readonly deleted: Map<RowKey, DeletedRow>;
  readonly invalidEdits: Map<EditId, number>;
}

const cloneState = (state: TableState): MutableTableState => ({
  nextOffset: state.nextOffset,
  rows: new Map(state.rows),
  deleted: new Map(state.deleted),
  invalidEdits: new Map(state.invalidEdits),
});

const pruneState = (draft: MutableTableState, nowMs: number): void => {
  draft.deleted.forEach((row, key) => {
    if (nowMs - row.timeMs > DELETED_ROW_RETENTION_MS) draft.deleted.delete(key);
  });
  draft.invalidEdits.forEach((timeMs, editId) => {
    if (nowMs - timeMs > INVALID_EDIT_RETENTION_MS) draft.invalidEdits.delete(editId);
  });
};

const applyEdit = (draft: MutableTableState, edit: EditRecord, record: LogRecord): void => {
  const key = getChangedKey(edit.change);
  const version = { offset: record.offset, editId: edit.editId };
  if (edit.change.action === 'put') {
    draft.rows.set(key, { ...version, row: edit.change.row });
    draft.deleted.delete(key);
  } else {
    draft.rows.delete(key);
    draft.deleted.set(key, { ...version, timeMs: record.timeMs });
  }
};

/** State machine of the table; every VM that applies the same records has the same state. */
export abstract class TableStateMachine {
  /** Applies records in order; records before the state's `nextOffset` are skipped. */
  applyRecords(state: TableState, records: readonly LogRecord[]): ApplyResult {
    const draft = cloneState(state);
    const results: EditResult[] = [];
    records.forEach((record) => {
      if (record.offset < draft.nextOffset) return;
      const result = this.applyEditRecord(draft, record);
      if (result) results.push(result);
      draft.nextOffset = toLogOffset(record.offset + 1);
    });
    return { state: draft, results };
  }

  /** Decides on an edit at its position in the log; undefined accepts it. */
  protected abstract decide(state: TableState, edit: EditRecord): EditRejection | undefined;

  private applyEditRecord(draft: MutableTableState, record: LogRecord): EditResult | undefined {
    const parsed = tableRecordSchema.safeParse(record.value);
    if (!parsed.success || parsed.data.type !== 'edit') return undefined;
    const edit = parsed.data;
    pruneState(draft, record.timeMs);
    const rejection = this.decide(draft, edit);
    const result = { editId: edit.editId, offset: record.offset };
    if (!rejection) {
      applyEdit(draft, edit, record);
      return result;
    }
    if (rejection.reason === 'invalid') draft.invalidEdits.set(edit.editId, record.timeMs);
    return { ...result, rejection };
  }
}
