import type { EditId, LogOffset } from '../ids.js';
import { toLogOffset } from '../ids.js';
import type { LogRecord } from '../log/index.js';
import { DELETED_ROW_MEMORY_MS, INVALID_EDIT_MEMORY_MS } from './constants.js';
import { tableRecordSchema } from './records.js';
import type { EditRecord } from './records.js';
import { getChangedKey } from './state.js';
import type { DeletedRow, TableState, VersionedRow } from './state.js';
import type { RowKey } from './rows.js';

/** Why an edit was rejected. */
export type EditRejection =
  /** Another edit of the row came first. */
  | { readonly reason: 'conflict'; readonly beatenBy?: EditId; readonly beatenAt?: LogOffset }
  /** The change is not allowed beside the other rows. */
  | { readonly reason: 'invalid'; readonly problems: readonly string[] };

/** What the log's order made of one edit. */
export interface EditResult {
  readonly editId: EditId;
  readonly offset: LogOffset;
  /** Absent for an accepted edit. */
  readonly rejection?: EditRejection;
}

/** A state and the results of the edits that were folded into it. */
export interface FoldResult {
  readonly state: TableState;
  readonly results: readonly EditResult[];
}

interface Draft {
  nextOffset: LogOffset;
  readonly rows: Map<RowKey, VersionedRow>;
  readonly deleted: Map<RowKey, DeletedRow>;
  readonly invalidEdits: Map<EditId, number>;
}

const createDraft = (state: TableState): Draft => ({
  nextOffset: state.nextOffset,
  rows: new Map(state.rows),
  deleted: new Map(state.deleted),
  invalidEdits: new Map(state.invalidEdits),
});

const pruneDraft = (draft: Draft, nowMs: number): void => {
  draft.deleted.forEach((row, key) => {
    if (nowMs - row.timeMs > DELETED_ROW_MEMORY_MS) draft.deleted.delete(key);
  });
  draft.invalidEdits.forEach((timeMs, editId) => {
    if (nowMs - timeMs > INVALID_EDIT_MEMORY_MS) draft.invalidEdits.delete(editId);
  });
};

const applyEdit = (draft: Draft, edit: EditRecord, record: LogRecord): void => {
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

/** Folds the table's records; every VM that folds the same records has the same state. */
export abstract class TableFold {
  /** Folds records in order; those before the state's `nextOffset` are passed over. */
  foldRecords(state: TableState, records: readonly LogRecord[]): FoldResult {
    const draft = createDraft(state);
    const results: EditResult[] = [];
    records.forEach((record) => {
      if (record.offset < draft.nextOffset) return;
      const result = this.foldEdit(draft, record);
      if (result) results.push(result);
      draft.nextOffset = toLogOffset(record.offset + 1);
    });
    return { state: draft, results };
  }

  /** Decides on an edit at its place in the log's order; undefined accepts it. */
  protected abstract decide(state: TableState, edit: EditRecord): EditRejection | undefined;

  private foldEdit(draft: Draft, record: LogRecord): EditResult | undefined {
    const parsed = tableRecordSchema.safeParse(record.value);
    if (!parsed.success || parsed.data.type !== 'edit') return undefined;
    const edit = parsed.data;
    pruneDraft(draft, record.timeMs);
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
