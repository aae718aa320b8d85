import { toId, toWeightNumber } from '@goldcrestscale/core';
import type {
  LoadedWeights,
  ModelId,
  PeerLoad,
  QuarantineRow,
  RateRow,
  SentPart,
  UpstreamBoot,
  ServiceName,
  UpstreamId,
  VmId,
  WaitingRow,
} from '@goldcrestscale/core';
import { decodeDatagram, encodeDatagram } from './meshDatagram.js';
import type { MeshDatagram } from './meshDatagram.js';
import { decodeRateRow, encodeRateRow } from './rateMessage.js';
import { decodeQuarantineRow, encodeQuarantineRow } from './quarantineRow.js';

/** Gossip message, which an entry VM sends to others several times per second. */
export interface GossipMessage {
  readonly vmId: VmId;
  /** Increases with each message, so that messages that arrive out of order are dropped. */
  readonly sequence: number;
  readonly loads: readonly PeerLoad[];
  /** Engines that are loading weights on an order of this VM. */
  readonly loading: readonly UpstreamId[];
  /** Prompt parts that this VM has sent to upstreams since its last message. */
  readonly sentParts: readonly SentPart[];
  /** Upstreams that are suspected to be down. */
  readonly down: readonly UpstreamId[];
  /** Upstreams that announced that they leave, and the boots that did. */
  readonly leaving: readonly UpstreamBoot[];
  /** Weights of engines that were learned after the engines' last heartbeats. */
  readonly weights: readonly LearnedWeights[];
  /** Prompt parts that crashed engines, as known to the sender. */
  readonly quarantine: readonly QuarantineRow[];
  /** Rate limits that upstreams announced, as known to the sender. */
  readonly rates: readonly RateRow[];
  /** Places for which requests wait; left out while none does. */
  readonly waiting?: readonly WaitingRow[] | undefined;
  /** Only in aggregates: the last message of each VM that is included in the sums. */
  readonly members?: readonly MemberSequence[] | undefined;
}

/** Identifies the message of a VM that is included in an aggregate. */
export interface MemberSequence {
  readonly vmId: VmId;
  readonly sequence: number;
}

/** Weights that an engine runs on, as learned from its responses. */
export interface LearnedWeights extends LoadedWeights {
  readonly upstreamId: UpstreamId;
}

const encodeWaiting = ({ service, priority, places }: WaitingRow) => [
  service,
  priority,
  Math.round(places),
];

/** Encodes a message and prepends a MAC computed with the sender's key. */
export const encodeGossip = (message: GossipMessage, key: string): Buffer => {
  const { vmId, sequence, loads, loading, down, weights, sentParts, members, leaving } = message;
  const quarantineRows = message.quarantine.map(encodeQuarantineRow);
  const loadRows = loads.map(({ upstreamId, inFlight, pendingTokens, inFlightTokens }) => [
    upstreamId,
    inFlight,
    Math.round(pendingTokens),
    Math.round(inFlightTokens),
  ]);
  const sentRows = sentParts.map(({ hash, upstreamId }) => [hash, upstreamId]);
  const weightRows = weights.map(({ upstreamId, model, weightNumber }) => [
    upstreamId,
    model,
    weightNumber,
  ]);
  const leavingRows = leaving.map(({ upstreamId, startedAtMs }) => [upstreamId, startedAtMs]);
  const memberRows = members?.map((member) => [member.vmId, member.sequence]);
  const fields = [
    sequence,
    loadRows,
    loading,
    weightRows,
    down,
    sentRows,
    memberRows ?? null,
    leavingRows,
    quarantineRows,
    message.rates.map(encodeRateRow),
    ...(message.waiting?.length ? [message.waiting.map(encodeWaiting)] : []),
  ];
  return encodeDatagram(vmId, fields, key);
};

const decodeLoad = (row: unknown): PeerLoad[] => {
  if (!Array.isArray(row)) return [];
  const [upstreamId, inFlight, pendingTokens, inFlightTokens] = row as unknown[];
  if (typeof upstreamId !== 'string') return [];
  if (typeof inFlight !== 'number' || typeof pendingTokens !== 'number') return [];
  if (typeof inFlightTokens !== 'number') return [];
  return [{ upstreamId: toId<UpstreamId>(upstreamId), inFlight, pendingTokens, inFlightTokens }];
};

const decodeSent = (row: unknown): SentPart[] => {
  if (!Array.isArray(row)) return [];
  const [hash, upstreamId] = row as unknown[];
  if (typeof hash !== 'number' || typeof upstreamId !== 'string') return [];
  return [{ hash, upstreamId: toId<UpstreamId>(upstreamId) }];
};

const isUpstreamId = (item: unknown): item is UpstreamId => typeof item === 'string';

const decodeWeights = (row: unknown): LearnedWeights[] => {
  if (!Array.isArray(row)) return [];
  const [upstreamId, model, weightNumber] = row as unknown[];
  if (typeof upstreamId !== 'string' || typeof model !== 'string') return [];
  if (typeof weightNumber !== 'number') return [];
  return [
    {
      upstreamId: toId<UpstreamId>(upstreamId),
      model: toId<ModelId>(model),
      weightNumber: toWeightNumber(weightNumber),
    },
  ];
};

const decodeLeaving = (row: unknown): UpstreamBoot[] => {
  if (!Array.isArray(row)) return [];
  const [upstreamId, startedAtMs] = row as unknown[];
  if (typeof upstreamId !== 'string' || typeof startedAtMs !== 'number') return [];
  return [{ upstreamId: toId<UpstreamId>(upstreamId), startedAtMs }];
};

const decodeWaiting = (row: unknown): WaitingRow[] => {
  if (!Array.isArray(row)) return [];
  const [service, priority, places] = row as unknown[];
  if (typeof service !== 'string' || typeof priority !== 'number') return [];
  if (typeof places !== 'number' || !(places > 0)) return [];
  return [{ service: toId<ServiceName>(service), priority, places }];
};

const decodeMember = (row: unknown): MemberSequence[] => {
  if (!Array.isArray(row)) return [];
  const [vmId, sequence] = row as unknown[];
  if (typeof vmId !== 'string' || typeof sequence !== 'number') return [];
  return [{ vmId: toId<VmId>(vmId), sequence }];
};

/** Decodes the fields of a datagram. @returns undefined if it is another message or invalid */
export const decodeGossipFields = ({ sender, fields }: MeshDatagram): GossipMessage | undefined => {
  const [sequence, loads, loading, weights, down, sentParts, members, ...added] = fields;
  const [leaving, quarantine, rates, waiting] = added;
  if (typeof sequence !== 'number') return undefined;
  if (!Array.isArray(loads) || !Array.isArray(loading)) return undefined;
  if (!Array.isArray(weights) || !Array.isArray(down) || !Array.isArray(sentParts))
    return undefined;
  return {
    vmId: sender,
    sequence,
    loads: loads.flatMap(decodeLoad),
    weights: weights.flatMap(decodeWeights),
    loading: loading.filter(isUpstreamId),
    down: down.filter(isUpstreamId),
    sentParts: sentParts.flatMap(decodeSent),
    // VMs of an earlier version do not send these lists.
    leaving: Array.isArray(leaving) ? leaving.flatMap(decodeLeaving) : [],
    quarantine: Array.isArray(quarantine) ? quarantine.flatMap(decodeQuarantineRow) : [],
    rates: Array.isArray(rates) ? rates.flatMap(decodeRateRow) : [],
    ...(Array.isArray(waiting) ? { waiting: waiting.flatMap(decodeWaiting) } : {}),
    ...(Array.isArray(members) ? { members: members.flatMap(decodeMember) } : {}),
  };
};

/** Decodes a message and verifies its MAC. @returns undefined if it is invalid or not authentic */
export const decodeGossip = (
  bytes: Buffer,
  findKey: (vmId: VmId) => string | undefined,
): GossipMessage | undefined => {
  const datagram = decodeDatagram(bytes, findKey);
  return datagram && decodeGossipFields(datagram);
};
