import type { RowChange } from './records.js';
import { getChangedKey } from './tableState.js';
import type { TableState } from './tableState.js';
import type { ClientAccountRow, Row, RowKey, WorkloadRow } from './rows.js';

/** Validates a change against the other rows; depends only on the table state, so it is deterministic. */

const listRows = (state: TableState): Row[] =>
  [...state.rows.values()].map((version) => version.row);

const checkWorkload = (state: TableState, row: WorkloadRow): string[] => {
  const problems: string[] = [];
  if ((row.model === undefined) === (row.service === undefined)) {
    problems.push('a workload must name either a model or a service');
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
  return listRows(state)
    .filter((other) => other.kind === 'account' && other.id !== row.id)
    .filter((other) => (other as ClientAccountRow).keyHashes.some((hash) => hashes.has(hash)))
    .map(
      (other) =>
        `account/${other.id} has one of these keys; an API key must belong to one account only`,
    );
};

const checkZones = (state: TableState, change: RowChange): string[] => {
  const key = getChangedKey(change);
  const zones = listRows(state).filter((row) => row.kind === 'zone');
  const others = zones.filter((row) => `zone/${row.id}` !== key);
  if (others.some((row) => row.state === 'in')) return [];
  if (change.action === 'put' && change.row.kind === 'zone' && change.row.state === 'in') return [];
  if (change.action === 'delete' && others.length === 0) return [];
  return ['no availability zone would be in service; return another zone to service first'];
};

const findReferences = (state: TableState, key: RowKey): string[] =>
  listRows(state)
    .filter((row) => row.kind === 'workload')
    .filter((row) =>
      [`account/${row.accountId}`, `model/${row.model}`, `service/${row.service}`].includes(key),
    )
    .map((row) => `workload/${row.id} refers to ${key}; delete or change it first`);

/** Lists the problems that make a change invalid in a state; empty if it is valid. */
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
