import { createHash } from 'node:crypto';
import { toLogOffset } from '../ids.js';
import type { EditId, LogOffset } from '../ids.js';
import type { BaseOffset, RowChange, SnapshotRecord } from './records.js';
import { getRowKey } from './rows.js';
import type { Row, RowKey } from './rows.js';

/** A row with the edit that wrote it. */
export interface VersionedRow {
  readonly row: Row;
  /** Offset of the edit. */
  readonly offset: LogOffset;
  readonly editId: EditId;
}

/** What is remembered of a deleted row, so that a late edit can't bring it back. */
export interface DeletedRow {
  readonly offset: LogOffset;
  readonly editId: EditId;
  /** Log time of the deletion, in milliseconds. */
  readonly timeMs: number;
}

/** The table as folded from every record before `nextOffset`. */
export interface TableState {
  readonly nextOffset: LogOffset;
  readonly rows: ReadonlyMap<RowKey, VersionedRow>;
  readonly deleted: ReadonlyMap<RowKey, DeletedRow>;
  /** Edits that were refused as invalid, with their log times; a copy that comes late stays refused. */
  readonly invalidEdits: ReadonlyMap<EditId, number>;
}

/** Creates the state of an empty stream. */
export const createTableState = (): TableState => ({
  nextOffset: toLogOffset(0),
  rows: new Map(),
  deleted: new Map(),
  invalidEdits: new Map(),
});

/** Gives the key of the row that a change is about. */
export const getChangedKey = (change: RowChange): RowKey =>
  change.action === 'put' ? getRowKey(change.row) : change.key;

/** Gives the last accepted edit of a row, also where that deleted it. */
export const findLastEdit = (
  state: TableState,
  key: RowKey,
): Pick<VersionedRow, 'offset' | 'editId'> | undefined =>
  state.rows.get(key) ?? state.deleted.get(key);

/** Gives the base offset that an edit of a row needs now. */
export const getBaseOffset = (state: TableState, key: RowKey): BaseOffset =>
  findLastEdit(state, key)?.offset ?? null;

const sortByKey = <Value>(entries: Iterable<readonly [string, Value]>) =>
  [...entries].sort(([left], [right]) => (left < right ? -1 : 1));

/** Creates the snapshot record of a state; equal states give equal records. */
export const createSnapshotRecord = (state: TableState): SnapshotRecord => ({
  type: 'snapshot',
  nextOffset: state.nextOffset,
  rows: sortByKey(state.rows).map(([, { row, offset, editId }]) => ({ offset, editId, row })),
  deleted: sortByKey(state.deleted).map(([key, { offset, editId, timeMs }]) => ({
    offset,
    editId,
    key: key as RowKey,
    timeMs,
  })),
  invalidEdits: sortByKey(state.invalidEdits).map(([editId, timeMs]) => ({
    editId: editId as EditId,
    timeMs,
  })),
});

/** Loads the state that a snapshot record holds. */
export const loadSnapshot = (snapshot: SnapshotRecord): TableState => ({
  nextOffset: snapshot.nextOffset,
  rows: new Map(snapshot.rows.map((version) => [getRowKey(version.row), version])),
  deleted: new Map(snapshot.deleted.map(({ key, ...version }) => [key, version])),
  invalidEdits: new Map(snapshot.invalidEdits.map(({ editId, timeMs }) => [editId, timeMs])),
});

/** Computes a digest by which states are compared. */
export const computeStateDigest = (state: TableState): string =>
  createHash('sha256')
    .update(JSON.stringify(createSnapshotRecord(state)))
    .digest('hex');
