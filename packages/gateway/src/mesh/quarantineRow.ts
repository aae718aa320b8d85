import { toId } from '@goldcrestscale/core';
import type { CrashRow, QuarantineRow, UpstreamId } from '@goldcrestscale/core';

/** Encodes a row as a list, which is shorter than an object. */
export const encodeQuarantineRow = (row: QuarantineRow): readonly unknown[] => [
  row.digest,
  row.label,
  row.clearings,
  Math.round(row.requestedAgeMs),
  row.crashes.map(({ upstreamId, startedAtMs, account, ageMs }) => [
    upstreamId,
    startedAtMs,
    account,
    Math.round(ageMs),
  ]),
];

const isAge = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

const decodeCrash = (row: unknown): CrashRow[] => {
  if (!Array.isArray(row)) return [];
  const [upstreamId, startedAtMs, account, ageMs] = row as unknown[];
  if (typeof upstreamId !== 'string' || typeof startedAtMs !== 'number') return [];
  if (typeof account !== 'string' || !isAge(ageMs)) return [];
  return [{ upstreamId: toId<UpstreamId>(upstreamId), startedAtMs, account, ageMs }];
};

/** Decodes a row; an invalid one gives none. */
export const decodeQuarantineRow = (row: unknown): QuarantineRow[] => {
  if (!Array.isArray(row)) return [];
  const [digest, label, clearings, requestedAgeMs, crashes] = row as unknown[];
  if (typeof digest !== 'string' || typeof label !== 'string') return [];
  if (!isAge(clearings) || !isAge(requestedAgeMs) || !Array.isArray(crashes)) return [];
  return [{ digest, label, clearings, requestedAgeMs, crashes: crashes.flatMap(decodeCrash) }];
};
