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
import { measureHeapBytes, measureCpuMs } from './marginalCost.js';
import type { MarginalCost } from './marginalCost.js';

const ROW_COUNT = 6_000;
const EDIT_COUNT = 2_000;
const VIEW_COUNT = 20;
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
  for (let index = 0; index < ROW_COUNT; index += 1) {
    records.push(toRecord(buildEdit(index, null), index + FIRST_WORKLOAD_OFFSET));
  }
  return new CompareAndSetStateMachine().applyRecords(createTableState(), records).state;
};

/** Measures the memory of a row of the configuration table and the CPU time of an edit. */
export const measureTable = async (): Promise<readonly MarginalCost[]> => {
  const { bytes, value: state } = measureHeapBytes(buildState);
  const stateMachine = new CompareAndSetStateMachine();
  let currentState = state;
  const editMs = await measureCpuMs(() => {
    for (let index = 0; index < EDIT_COUNT; index += 1) {
      const record = toRecord(
        buildEdit(index, index + FIRST_WORKLOAD_OFFSET),
        ROW_COUNT + FIRST_WORKLOAD_OFFSET + index,
      );
      currentState = stateMachine.applyRecords(currentState, [record]).state;
    }
  });
  const viewMs = await measureCpuMs(() => {
    for (let index = 0; index < VIEW_COUNT; index += 1) createConfigTable(currentState);
  });
  return [
    { name: 'table: memory of one row', value: bytes / state.rows.size, unit: 'bytes' },
    {
      name: `table: applying one edit at ${ROW_COUNT} rows`,
      value: (editMs / EDIT_COUNT) * MICROSECONDS_PER_MS,
      unit: 'us',
    },
    {
      name: `table: building the read view at ${ROW_COUNT} rows, once per edit`,
      value: viewMs / VIEW_COUNT,
      unit: 'ms',
    },
  ];
};
