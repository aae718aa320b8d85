import { isDeepStrictEqual } from 'node:util';
import { getBaseOffset, getChangedKey } from '@goldcrestscale/core';
import type { BaseOffset, Row, RowChange, RowKey, TableState } from '@goldcrestscale/core';
import { parseRowKey, ROW_KINDS } from './rowKey.js';
import type { TableFile } from './tableFile.js';

/** A field whose value differs between two rows. */
export interface FieldDifference {
  readonly field: string;
  readonly from: unknown;
  readonly to: unknown;
}

/** An edit to apply and the row version that it is based on. */
export interface PlannedChange {
  readonly key: RowKey;
  readonly type: 'create' | 'update' | 'delete';
  readonly change: RowChange;
  readonly baseOffset: BaseOffset;
  readonly fields: readonly FieldDifference[];
}

/** Lists the fields in which two rows differ. */
export const diffRows = (from: Row | undefined, to: Row | undefined): FieldDifference[] => {
  const before: Record<string, unknown> = { ...from };
  const after: Record<string, unknown> = { ...to };
  return [...new Set([...Object.keys(before), ...Object.keys(after)])]
    .filter((field) => field !== 'kind' && field !== 'id')
    .filter((field) => !isDeepStrictEqual(before[field], after[field]))
    .map((field) => ({ field, from: before[field], to: after[field] }));
};

/** Plans one edit against the current table; undefined if the row already has this content. */
export const planChange = (state: TableState, change: RowChange): PlannedChange | undefined => {
  const key = getChangedKey(change);
  const current = state.rows.get(key)?.row;
  const target = change.action === 'put' ? change.row : undefined;
  if (isDeepStrictEqual(current, target)) return undefined;
  const update = current ? 'update' : 'create';
  return {
    key,
    type: target ? update : 'delete',
    change,
    baseOffset: getBaseOffset(state, key),
    fields: diffRows(current, target),
  };
};

const compareDeletions = (left: RowKey, right: RowKey): number =>
  ROW_KINDS.indexOf(parseRowKey(right).kind) - ROW_KINDS.indexOf(parseRowKey(left).kind);

/**
 * Plans the edits that apply a file to the table; rows are deleted before those they refer to.
 */
export const planTableFile = (state: TableState, file: TableFile): PlannedChange[] => {
  const changes: RowChange[] = [
    ...file.rows.map((row): RowChange => ({ action: 'put', row })),
    ...[...file.deletions]
      .sort(compareDeletions)
      .map((key): RowChange => ({ action: 'delete', key })),
  ];
  return changes.flatMap((change) => planChange(state, change) ?? []);
};
