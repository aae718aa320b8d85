import { createHash } from 'node:crypto';
import { toLogOffset } from '../ids.js';
import type { EditId, LogOffset } from '../ids.js';
import type { BaseOffset, RowChange, SnapshotRecord } from './records.js';
import { getRowKey } from './rows.js';
import type { Row, RowKey } from './rows.js';

/** A row and the edit that wrote it. */
export interface VersionedRow {
  readonly row: Row;
  /** Offset of the edit. */
  readonly offset: LogOffset;
  readonly editId: EditId;
}

/** Tombstone of a deleted row, which prevents a delayed edit from restoring it. */
export interface DeletedRow {
  readonly offset: LogOffset;
  readonly editId: EditId;
  /** Log timestamp of the deletion, in milliseconds. */
  readonly timeMs: number;
}

/** State of the table after applying every record before `nextOffset`. */
export interface TableState {
  readonly nextOffset: LogOffset;
  readonly rows: ReadonlyMap<RowKey, VersionedRow>;
  readonly deleted: ReadonlyMap<RowKey, DeletedRow>;
  /** Log timestamps of edits rejected as invalid, so that delayed copies are rejected as well. */
  readonly invalidEdits: ReadonlyMap<EditId, number>;
}

/** Creates the state of an empty stream. */
export const createTableState = (): TableState => ({
  nextOffset: toLogOffset(0),
  rows: new Map(),
  deleted: new Map(),
  invalidEdits: new Map(),
});

/** Returns the key of the changed row. */
export const getChangedKey = (change: RowChange): RowKey =>
  change.action === 'put' ? getRowKey(change.row) : change.key;

/** Finds the last accepted edit of a row, including its deletion. */
export const findLastEdit = (
  state: TableState,
  key: RowKey,
): Pick<VersionedRow, 'offset' | 'editId'> | undefined =>
  state.rows.get(key) ?? state.deleted.get(key);

/** Returns the base offset that an edit of a row currently requires. */
export const getBaseOffset = (state: TableState, key: RowKey): BaseOffset =>
  findLastEdit(state, key)?.offset ?? null;

const sortByKey = <Value>(entries: Iterable<readonly [string, Value]>) =>
  [...entries].sort(([left], [right]) => (left < right ? -1 : 1));

/** Creates the snapshot record of a state; equal states produce equal records. */
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

/** Restores the state from a snapshot record. */
export const loadSnapshot = (snapshot: SnapshotRecord): TableState => ({
  nextOffset: snapshot.nextOffset,
  rows: new Map(snapshot.rows.map((version) => [getRowKey(version.row), version])),
  deleted: new Map(snapshot.deleted.map(({ key, ...version }) => [key, version])),
  invalidEdits: new Map(snapshot.invalidEdits.map(({ editId, timeMs }) => [editId, timeMs])),
});

/** Computes a digest for comparing states. */
export const computeStateDigest = (state: TableState): string =>
  createHash('sha256')
    .update(JSON.stringify(createSnapshotRecord(state)))
    .digest('hex');
