import { Packr } from 'msgpackr';
import { toId } from '@goldcrestscale/core';
import type {
  BegunStream,
  ClientAccountId,
  RequestId,
  ServiceName,
  SoftwareVersion,
  VmId,
} from '@goldcrestscale/core';
import type { KeyedRecord } from '../ports/index.js';

/** Requests by service, version and account. */
type StreamRows = readonly (readonly [string, string, string, readonly string[]])[];

/** Maximum length of an id or a name in a record. */
const MAX_NAME_LENGTH = 256;

const isName = (value: unknown): value is string =>
  typeof value === 'string' && value.length <= MAX_NAME_LENGTH;

const packr = new Packr({ useRecords: false });

/** Encodes streams that a VM has begun as one record of the log. */
export const encodeStreams = (vmId: VmId, streams: readonly BegunStream[]): KeyedRecord => {
  const groups = new Map<string, [string, string, string, string[]]>();
  streams.forEach(({ requestId, service, version, account = '' }) => {
    const key = JSON.stringify([service, version, account]);
    const group = groups.get(key) ?? [service, version, account, []];
    group[3].push(requestId);
    groups.set(key, group);
  });
  const rows: StreamRows = [...groups.values()];
  return { key: vmId, value: packr.pack(rows) };
};

const decodeRow = (row: unknown): readonly BegunStream[] => {
  if (!Array.isArray(row)) return [];
  const [service, version, account, requestIds] = row as unknown[];
  if (!isName(service) || !isName(version)) return [];
  if (!isName(account) || !Array.isArray(requestIds)) return [];
  return requestIds.filter(isName).map((requestId) => ({
    requestId: toId<RequestId>(requestId),
    service: toId<ServiceName>(service),
    version: toId<SoftwareVersion>(version),
    account: account === '' ? undefined : toId<ClientAccountId>(account),
  }));
};

/** Decodes a record of begun streams. @throws if it isn't one */
export const decodeStreams = ({ value }: KeyedRecord): readonly BegunStream[] => {
  if (!value) return [];
  const rows: unknown = packr.unpack(value);
  return Array.isArray(rows) ? rows.flatMap(decodeRow) : [];
};
