import type {
  AvailabilityZoneId,
  ClientAccountId,
  LogOffset,
  ModelId,
  UpstreamId,
  WorkloadId,
} from '../ids.js';
import type {
  AvailabilityZoneRow,
  ClientAccountRow,
  ModelRow,
  Row,
  RowKey,
  RowKind,
  ServiceRow,
  UpstreamRow,
  WorkloadRow,
} from './rows.js';
import type { TableState, VersionedRow } from './tableState.js';

type RowOf<Kind extends RowKind> = Extract<Row, { kind: Kind }>;

/** Criteria for finding workloads. */
export interface WorkloadQuery {
  readonly accountId: ClientAccountId;
  readonly model?: string;
  readonly service?: string;
}

/** Read view of the table at one offset. */
export interface ConfigTable {
  /** Every record before this offset is included. */
  readonly nextOffset: LogOffset;
  findRow(key: RowKey): VersionedRow | undefined;
  /** Lists all rows, or the rows of one kind, ordered by key. */
  listRows(): readonly Row[];
  listRows<Kind extends RowKind>(kind: Kind): readonly RowOf<Kind>[];
  getAccount(id: ClientAccountId): ClientAccountRow | undefined;
  /** Finds the account with an API key by the key's SHA-256 digest in hexadecimal. */
  findAccountByKeyHash(keyHash: string): ClientAccountRow | undefined;
  getWorkload(id: WorkloadId): WorkloadRow | undefined;
  /** Finds the account's workloads, restricted to the query's model or service if given. */
  findWorkloads(query: WorkloadQuery): readonly WorkloadRow[];
  getModel(id: ModelId): ModelRow | undefined;
  getService(id: string): ServiceRow | undefined;
  getUpstream(id: UpstreamId): UpstreamRow | undefined;
  getZone(id: AvailabilityZoneId): AvailabilityZoneRow | undefined;
  /** Whether operators have taken a zone out of service; a zone without a row is in service. */
  isZoneOut(id: AvailabilityZoneId): boolean;
}

const compareKeys = ([left]: readonly [string, unknown], [right]: readonly [string, unknown]) =>
  left < right ? -1 : 1;

const groupWorkloads = (rows: readonly Row[]): Map<ClientAccountId, WorkloadRow[]> => {
  const groups = new Map<ClientAccountId, WorkloadRow[]>();
  rows.forEach((row) => {
    if (row.kind !== 'workload') return;
    const group = groups.get(row.accountId);
    if (group) group.push(row);
    else groups.set(row.accountId, [row]);
  });
  return groups;
};

const mapKeyHashes = (rows: readonly Row[]): Map<string, ClientAccountRow> => {
  const accounts = new Map<string, ClientAccountRow>();
  rows.forEach((row) => {
    if (row.kind === 'account') row.keyHashes.forEach((hash) => accounts.set(hash, row));
  });
  return accounts;
};

/** Creates an indexed read view of a state. */
export const createConfigTable = (state: TableState): ConfigTable => {
  const rows = [...state.rows].sort(compareKeys).map(([, version]) => version.row);
  const accountsByKeyHash = mapKeyHashes(rows);
  const workloadsByAccount = groupWorkloads(rows);
  const find = <Kind extends RowKind>(kind: Kind, id: string): RowOf<Kind> | undefined =>
    state.rows.get(`${kind}/${id}`)?.row as RowOf<Kind> | undefined;
  return {
    nextOffset: state.nextOffset,
    findRow: (key) => state.rows.get(key),
    listRows: <Kind extends RowKind>(kind?: Kind) =>
      rows.filter((row): row is RowOf<Kind> => kind === undefined || row.kind === kind),
    getAccount: (id) => find('account', id),
    findAccountByKeyHash: (keyHash) => accountsByKeyHash.get(keyHash),
    getWorkload: (id) => find('workload', id),
    findWorkloads: ({ accountId, model, service }) =>
      (workloadsByAccount.get(accountId) ?? []).filter(
        (row) =>
          (model === undefined || row.model === model) &&
          (service === undefined || row.service === service),
      ),
    getModel: (id) => find('model', id),
    getService: (id) => find('service', id),
    getUpstream: (id) => find('upstream', id),
    getZone: (id) => find('zone', id),
    isZoneOut: (id) => find('zone', id)?.state === 'out',
  };
};
