import { createHmac, timingSafeEqual } from 'node:crypto';
import { Packr } from 'msgpackr';
import { toId, toWeightNumber } from '@goldcrestscale/core';
import type {
  LoadedWeights,
  ModelId,
  PeerLoad,
  QuarantineRow,
  SentPart,
  UpstreamBoot,
  UpstreamId,
  VmId,
} from '@goldcrestscale/core';
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

/** Size of the truncated MAC at the start of a datagram. */
const MAC_BYTES = 12;

const packr = new Packr({ useRecords: false });

const computeMac = (key: string, content: Buffer): Buffer =>
  createHmac('sha256', key).update(content).digest().subarray(0, MAC_BYTES);

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
  const content = packr.pack([
    vmId,
    sequence,
    loadRows,
    loading,
    weightRows,
    down,
    sentRows,
    memberRows ?? null,
    leavingRows,
    quarantineRows,
  ]);
  return Buffer.concat([computeMac(key, content), content]);
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

const decodeMember = (row: unknown): MemberSequence[] => {
  if (!Array.isArray(row)) return [];
  const [vmId, sequence] = row as unknown[];
  if (typeof vmId !== 'string' || typeof sequence !== 'number') return [];
  return [{ vmId: toId<VmId>(vmId), sequence }];
};

/**
 * Decodes a message and verifies its MAC.
 *
 * @param findKey finds the key of a VM, from its heartbeat in the log
 * @returns undefined if the datagram is invalid or fails authentication
 */
export const decodeGossip = (
  bytes: Buffer,
  findKey: (vmId: VmId) => string | undefined,
): GossipMessage | undefined => {
  const content = bytes.subarray(MAC_BYTES);
  if (content.length === 0) return undefined;
  let fields: unknown;
  try {
    fields = packr.unpack(content);
  } catch {
    // Anyone can send a datagram, so undecodable ones are ignored.
    return undefined;
  }
  if (!Array.isArray(fields)) return undefined;
  const [vmId, sequence, loads, loading, weights, down, sentParts, members, leaving, quarantine] =
    fields as unknown[];
  if (typeof vmId !== 'string' || typeof sequence !== 'number') return undefined;
  if (!Array.isArray(loads) || !Array.isArray(loading)) return undefined;
  if (!Array.isArray(weights) || !Array.isArray(down) || !Array.isArray(sentParts))
    return undefined;
  const key = findKey(toId<VmId>(vmId));
  const isAuthentic =
    key !== undefined && timingSafeEqual(bytes.subarray(0, MAC_BYTES), computeMac(key, content));
  if (!isAuthentic) return undefined;
  return {
    vmId: toId<VmId>(vmId),
    sequence,
    loads: loads.flatMap(decodeLoad),
    weights: weights.flatMap(decodeWeights),
    loading: loading.filter(isUpstreamId),
    down: down.filter(isUpstreamId),
    sentParts: sentParts.flatMap(decodeSent),
    // VMs of an earlier version do not send these lists.
    leaving: Array.isArray(leaving) ? leaving.flatMap(decodeLeaving) : [],
    quarantine: Array.isArray(quarantine) ? quarantine.flatMap(decodeQuarantineRow) : [],
    ...(Array.isArray(members) ? { members: members.flatMap(decodeMember) } : {}),
  };
};
