import {
  CompareAndSetStateMachine,
  createConfigTable,
  createTableState,
  toId,
  toLogOffset,
} from '@goldcrestscale/core';
import type {
  EditRecord,
  LogRecord,
  TableState,
  WorkloadRow,
  WorkloadId,
  ClientAccountId,
  ModelId,
  EditId,
} from '@goldcrestscale/core';
import { measureHeapBytes, measureProcessorMs } from './slope.js';
import type { Slope } from './slope.js';

const ROWS = 6_000;
const EDITS = 2_000;
const VIEWS = 20;
const MICROSECONDS_PER_MS = 1_000;

const buildWorkload = (index: number): WorkloadRow => ({
  kind: 'workload',
  id: toId<WorkloadId>(`workload-${index}`),
  accountId: toId<ClientAccountId>('account'),
  model: toId<ModelId>('model'),
  priority: 5,
  weight: 1,
  deadlineMs: 30_000,
  idempotent: true,
  latencyWeight: 1,
  recomputeWeight: 1,
});

const buildEdit = (index: number, baseOffset: number | null): EditRecord => ({
  type: 'edit',
  editId: toId<EditId>(`edit-${index}-${baseOffset ?? 'new'}`),
  baseOffset: baseOffset === null ? null : toLogOffset(baseOffset),
  change: { action: 'put', row: buildWorkload(index) },
});

const toRecord = (value: unknown, offset: number): LogRecord => ({
  offset: toLogOffset(offset),
  timeMs: 0,
  value,
});

const ACCOUNT_EDIT = {
  type: 'edit',
  editId: 'edit-account',
  baseOffset: null,
  change: { action: 'put', row: { kind: 'account', id: 'account', keyHashes: [], weight: 1 } },
};

const MODEL_EDIT = {
  type: 'edit',
  editId: 'edit-model',
  baseOffset: null,
  change: { action: 'put', row: { kind: 'model', id: 'model', version: 'v1' } },
};

const FIRST_WORKLOAD_OFFSET = 2;

const buildState = (): TableState => {
  const records = [ACCOUNT_EDIT, MODEL_EDIT].map(toRecord);
  for (let index = 0; index < ROWS; index += 1) {
    records.push(toRecord(buildEdit(index, null), index + FIRST_WORKLOAD_OFFSET));
  }
  return new CompareAndSetStateMachine().applyRecords(createTableState(), records).state;
};

/** Measures what a row of the table and an edit cost. */
export const measureTable = async (): Promise<readonly Slope[]> => {
  const { bytes, value: state } = measureHeapBytes(buildState);
  const fold = new CompareAndSetStateMachine();
  let current = state;
  const editMs = await measureProcessorMs(() => {
    for (let index = 0; index < EDITS; index += 1) {
      const record = toRecord(
        buildEdit(index, index + FIRST_WORKLOAD_OFFSET),
        ROWS + FIRST_WORKLOAD_OFFSET + index,
      );
      current = fold.applyRecords(current, [record]).state;
    }
  });
  const viewMs = await measureProcessorMs(() => {
    for (let index = 0; index < VIEWS; index += 1) createConfigTable(current);
  });
  return [
    { name: 'table: memory of one row', value: bytes / state.rows.size, unit: 'bytes' },
    {
      name: `table: fold of one edit at ${ROWS} rows`,
      value: (editMs / EDITS) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
    { name: `table: read view at ${ROWS} rows, once an edit`, value: viewMs / VIEWS, unit: 'ms' },
  ];
};
