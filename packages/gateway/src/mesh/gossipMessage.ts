import { createHmac, timingSafeEqual } from 'node:crypto';
import { Packr } from 'msgpackr';
import { toId, toWeightNumber } from '@goldcrestscale/core';
import type {
  HeldWeights,
  ModelId,
  PeerLoad,
  SentPart,
  UpstreamId,
  VmId,
} from '@goldcrestscale/core';

/** What one entry VM tells the others many times a second. */
export interface GossipMessage {
  readonly vmId: VmId;
  /** Grows with each message of one run, so that an older one that comes late is dropped. */
  readonly sequence: number;
  readonly loads: readonly PeerLoad[];
  /** Engines that this VM has ordered to load weights. */
  readonly loading: readonly UpstreamId[];
  /** Prompt parts that this VM has sent since its last message. */
  readonly sent: readonly SentPart[];
  /** Upstreams that seem to be down. */
  readonly down: readonly UpstreamId[];
  /** Weights of engines that are newer than their heartbeats. */
  readonly weights: readonly LearnedWeights[];
  /**
   * Present where a relay tells for the VMs of its zone: the last message of each that the sums
   * contain.
   */
  readonly members?: readonly MemberSequence[] | undefined;
}

/** The message of a VM that a relay's sums contain. */
export interface MemberSequence {
  readonly vmId: VmId;
  readonly sequence: number;
}

/** Weights that an engine has been found to run on. */
export interface LearnedWeights extends HeldWeights {
  readonly upstreamId: UpstreamId;
}

/** Bytes of the proof at the beginning of a message. */
const PROOF_BYTES = 12;

const packr = new Packr({ useRecords: false });

const prove = (key: string, content: Buffer): Buffer =>
  createHmac('sha256', key).update(content).digest().subarray(0, PROOF_BYTES);

/** Encodes a message with a proof made with the sender's key. */
export const encodeGossip = (message: GossipMessage, key: string): Buffer => {
  const { vmId, sequence, loads, loading, down, weights, sent, members } = message;
  const rows = loads.map(({ upstreamId, inFlight, pendingTokens, heldTokens }) => [
    upstreamId,
    inFlight,
    Math.round(pendingTokens),
    Math.round(heldTokens),
  ]);
  const sentRows = sent.map(({ hash, upstreamId }) => [hash, upstreamId]);
  const learned = weights.map(({ upstreamId, model, held }) => [upstreamId, model, held]);
  const memberRows = members?.map((member) => [member.vmId, member.sequence]);
  const content = packr.pack([
    vmId,
    sequence,
    rows,
    loading,
    learned,
    down,
    sentRows,
    memberRows ?? null,
  ]);
  return Buffer.concat([prove(key, content), content]);
};

const decodeLoad = (row: unknown): PeerLoad[] => {
  if (!Array.isArray(row)) return [];
  const [upstreamId, inFlight, pendingTokens, heldTokens] = row as unknown[];
  if (typeof upstreamId !== 'string') return [];
  if (typeof inFlight !== 'number' || typeof pendingTokens !== 'number') return [];
  if (typeof heldTokens !== 'number') return [];
  return [{ upstreamId: toId<UpstreamId>(upstreamId), inFlight, pendingTokens, heldTokens }];
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
  const [upstreamId, model, held] = row as unknown[];
  if (typeof upstreamId !== 'string' || typeof model !== 'string') return [];
  if (typeof held !== 'number') return [];
  return [
    {
      upstreamId: toId<UpstreamId>(upstreamId),
      model: toId<ModelId>(model),
      held: toWeightNumber(held),
    },
  ];
};

const decodeMember = (row: unknown): MemberSequence[] => {
  if (!Array.isArray(row)) return [];
  const [vmId, sequence] = row as unknown[];
  if (typeof vmId !== 'string' || typeof sequence !== 'number') return [];
  return [{ vmId: toId<VmId>(vmId), sequence }];
};

/**
 * Decodes a message and checks its proof.
 *
 * @param findKey gives the key of a VM, as its heartbeat in the log tells it
 * @returns undefined where the message is not one of the fleet's
 */
export const decodeGossip = (
  bytes: Buffer,
  findKey: (vmId: VmId) => string | undefined,
): GossipMessage | undefined => {
  const content = bytes.subarray(PROOF_BYTES);
  if (content.length === 0) return undefined;
  let fields: unknown;
  try {
    fields = packr.unpack(content);
  } catch {
    // Anyone may send a datagram: what can't be decoded is none of the fleet's.
    return undefined;
  }
  if (!Array.isArray(fields)) return undefined;
  const [vmId, sequence, loads, loading, weights, down, sent, members] = fields as unknown[];
  if (typeof vmId !== 'string' || typeof sequence !== 'number') return undefined;
  if (!Array.isArray(loads) || !Array.isArray(loading)) return undefined;
  if (!Array.isArray(weights) || !Array.isArray(down) || !Array.isArray(sent)) return undefined;
  const key = findKey(toId<VmId>(vmId));
  const isProved =
    key !== undefined && timingSafeEqual(bytes.subarray(0, PROOF_BYTES), prove(key, content));
  if (!isProved) return undefined;
  return {
    vmId: toId<VmId>(vmId),
    sequence,
    loads: loads.flatMap(decodeLoad),
    weights: weights.flatMap(decodeWeights),
    loading: loading.filter(isUpstreamId),
    down: down.filter(isUpstreamId),
    sent: sent.flatMap(decodeSent),
    ...(Array.isArray(members) ? { members: members.flatMap(decodeMember) } : {}),
  };
};
