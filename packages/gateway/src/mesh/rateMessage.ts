import { toId } from '@goldcrestscale/core';
import type { PermitRequest, PermitReply, RateRow, UpstreamId } from '@goldcrestscale/core';
import type { MeshDatagram } from './meshDatagram.js';

/** Message between a VM that needs a permit for a limited upstream and its granter. */
export type RateMessage =
  | { readonly kind: 'request'; readonly request: PermitRequest }
  | { readonly kind: 'reply'; readonly reply: PermitReply };

/** First fields of the messages; gossip begins with a number. */
const REQUEST_TAG = 'permit-request';
const GRANT_TAG = 'permit-grant';
const DENIAL_TAG = 'permit-denial';

const isAmount = (value: unknown): value is number =>
  typeof value === 'number' && Number.isFinite(value) && value >= 0;

/** Encodes a message as the fields of a datagram. */
export const encodeRateMessage = (message: RateMessage): readonly unknown[] => {
  if (message.kind === 'reply') {
    const { reply } = message;
    return 'startsInMs' in reply
      ? [GRANT_TAG, reply.id, reply.startsInMs, reply.nextAfterMs]
      : [DENIAL_TAG, reply.id, reply.retryAfterMs];
  }
  const { id, upstreamId, startedAtMs, requestsPerSecond, announcedAgeMs, maxWaitMs, priority } =
    message.request;
  return [
    REQUEST_TAG,
    id,
    upstreamId,
    startedAtMs,
    requestsPerSecond,
    announcedAgeMs,
    maxWaitMs,
    priority,
  ];
};

const decodePermitRequest = (fields: readonly unknown[]): PermitRequest | undefined => {
  const [id, upstreamId, startedAtMs, requestsPerSecond, announcedAgeMs, maxWaitMs, priority] =
    fields;
  if (!isAmount(id) || typeof upstreamId !== 'string' || !isAmount(startedAtMs)) return undefined;
  if (!isAmount(requestsPerSecond) || requestsPerSecond === 0) return undefined;
  if (!isAmount(announcedAgeMs) || !isAmount(maxWaitMs) || !isAmount(priority)) return undefined;
  return {
    id,
    upstreamId: toId<UpstreamId>(upstreamId),
    startedAtMs,
    requestsPerSecond,
    announcedAgeMs,
    maxWaitMs,
    priority,
  };
};

/** @returns undefined if the datagram is another message or invalid */
export const decodeRateMessage = ({
  fields: [tag, ...fields],
}: MeshDatagram): RateMessage | undefined => {
  if (tag === REQUEST_TAG) {
    const request = decodePermitRequest(fields);
    return request && { kind: 'request', request };
  }
  const [id, timeMs, nextAfterMs] = fields;
  if (!isAmount(id) || !isAmount(timeMs)) return undefined;
  if (tag === DENIAL_TAG) return { kind: 'reply', reply: { id, retryAfterMs: timeMs } };
  if (tag !== GRANT_TAG || !isAmount(nextAfterMs)) return undefined;
  return { kind: 'reply', reply: { id, startsInMs: timeMs, nextAfterMs } };
};

/** Encodes an announced rate as a list, which is shorter than an object. */
export const encodeRateRow = (row: RateRow): readonly unknown[] => [
  row.upstreamId,
  row.startedAtMs,
  row.requestsPerSecond ?? null,
  Math.round(row.ageMs),
];

/** Decodes an announced rate; an invalid one gives none. */
export const decodeRateRow = (row: unknown): RateRow[] => {
  if (!Array.isArray(row)) return [];
  const [upstreamId, startedAtMs, rate, ageMs] = row as unknown[];
  if (typeof upstreamId !== 'string' || typeof startedAtMs !== 'number') return [];
  if (!(rate === null || isAmount(rate)) || !isAmount(ageMs)) return [];
  const requestsPerSecond = rate ?? undefined;
  return [{ upstreamId: toId<UpstreamId>(upstreamId), startedAtMs, requestsPerSecond, ageMs }];
};
