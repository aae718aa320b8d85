import type { RowChange } from './records.js';
import { getChangedKey } from './state.js';
import type { TableState } from './state.js';
import type { ClientAccountRow, Row, RowKey, WorkloadRow } from './rows.js';

/** Checks of a change against the other rows. They depend on nothing but the folded state. */

const listRowsOf = (state: TableState): Row[] =>
  [...state.rows.values()].map((version) => version.row);

const checkWorkload = (state: TableState, row: WorkloadRow): string[] => {
  const problems: string[] = [];
  if ((row.model === undefined) === (row.service === undefined)) {
    problems.push('a workload names either a model or a service');
  }
  const references: (RowKey | undefined)[] = [
    `account/${row.accountId}`,
    row.model === undefined ? undefined : `model/${row.model}`,
    row.service === undefined ? undefined : `service/${row.service}`,
  ];
  references.forEach((key) => {
    if (key && !state.rows.has(key)) problems.push(`${key} does not exist; create it first`);
  });
  return problems;
};

const checkAccount = (state: TableState, row: ClientAccountRow): string[] => {
  const hashes = new Set(row.keyHashes);
  return listRowsOf(state)
    .filter((other) => other.kind === 'account' && other.id !== row.id)
    .filter((other) => (other as ClientAccountRow).keyHashes.some((hash) => hashes.has(hash)))
    .map((other) => `account/${other.id} has one of these keys; give each account its own`);
};

const checkZones = (state: TableState, change: RowChange): string[] => {
  const key = getChangedKey(change);
  const zones = listRowsOf(state).filter((row) => row.kind === 'zone');
  const others = zones.filter((row) => `zone/${row.id}` !== key);
  if (others.some((row) => row.state === 'in')) return [];
  if (change.action === 'put' && change.row.kind === 'zone' && change.row.state === 'in') return [];
  if (change.action === 'delete' && others.length === 0) return [];
  return ['no availability zone would be in; put another one in first'];
};

const findReferences = (state: TableState, key: RowKey): string[] =>
  listRowsOf(state)
    .filter((row) => row.kind === 'workload')
    .filter((row) =>
      [`account/${row.accountId}`, `model/${row.model}`, `service/${row.service}`].includes(key),
    )
    .map((row) => `workload/${row.id} refers to ${key}; delete or change it first`);

/** Lists every reason for which a change is not allowed in a state; empty where it is. */
export const validateChange = (state: TableState, change: RowChange): string[] => {
  const key = getChangedKey(change);
  const zoneProblems = key.startsWith('zone/') ? checkZones(state, change) : [];
  if (change.action === 'delete') {
    if (!state.rows.has(key)) return [`${key} does not exist`];
    return [...zoneProblems, ...findReferences(state, key)];
  }
  if (change.row.kind === 'workload') return checkWorkload(state, change.row);
  if (change.row.kind === 'account') return checkAccount(state, change.row);
  return zoneProblems;
};
