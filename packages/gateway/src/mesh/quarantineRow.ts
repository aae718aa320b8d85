import { toId } from '@goldcrestscale/core';
import type { CrashRow, QuarantineRow, UpstreamId } from '@goldcrestscale/core';
import type { MeshDatagram } from './meshDatagram.js';

/** Encodes a row as a list, which is shorter than an object. */
export const encodeQuarantineRow = (row: QuarantineRow): readonly unknown[] => [
  row.digest,
  row.label,
  row.clearings,
  Math.round(row.requestedAgeMs),
  row.crashes.map(({ upstreamId, startedAtMs, account, ageMs, service }) => [
    upstreamId,
    startedAtMs,
    account,
    Math.round(ageMs),
    service,
  ]),
  row.kind,
  row.trials,
];

const isAge = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const decodeCrash = (row: unknown): CrashRow[] => {
  if (!Array.isArray(row)) return [];
  const [upstreamId, startedAtMs, account, ageMs, sentService] = row as unknown[];
  if (typeof upstreamId !== 'string' || typeof startedAtMs !== 'number') return [];
  if (typeof account !== 'string' || !isAge(ageMs)) return [];
  // VMs of an earlier version send no service.
  const service = typeof sentService === 'string' ? sentService : '';
  return [{ upstreamId: toId<UpstreamId>(upstreamId), startedAtMs, account, ageMs, service }];
};

/** First field of a message with nothing but rows; gossip begins with a number. */
const ROWS_TAG = 'quarantine';

/** Encodes rows as the fields of a datagram. */
export const encodeQuarantineRows = (rows: readonly QuarantineRow[]): readonly unknown[] => [
  ROWS_TAG,
  rows.map(encodeQuarantineRow),
];

/** Decodes a row; an invalid one gives none. */
export const decodeQuarantineRow = (row: unknown): QuarantineRow[] => {
  if (!Array.isArray(row)) return [];
  const [digest, label, clearings, requestedAgeMs, crashes, sentKind, sentTrials] =
    row as unknown[];
  if (typeof digest !== 'string' || typeof label !== 'string') return [];
  if (!isAge(clearings) || !isAge(requestedAgeMs) || !Array.isArray(crashes)) return [];
  // VMs of an earlier version send only rows of prompt parts, without a kind.
  const kind = sentKind === 'request' ? 'request' : 'part';
  // They send no trials either.
  const trials = Number.isSafeInteger(sentTrials) ? Number(sentTrials) : 0;
  const decodedCrashes = crashes.flatMap(decodeCrash);
  return [{ kind, digest, label, clearings, requestedAgeMs, trials, crashes: decodedCrashes }];
};

/** @returns undefined if the datagram is another message */
export const decodeQuarantineRows = ({
  fields: [tag, rows],
}: MeshDatagram): readonly QuarantineRow[] | undefined =>
  tag === ROWS_TAG && Array.isArray(rows) ? rows.flatMap(decodeQuarantineRow) : undefined;
