import { createHmac, timingSafeEqual } from 'node:crypto';
import { Packr } from 'msgpackr';
import { toId } from '@goldcrestscale/core';
import type { PeerLoad, UpstreamId, VmId } from '@goldcrestscale/core';

/** What one entry VM tells the others many times a second. */
export interface GossipMessage {
  readonly vmId: VmId;
  /** Grows with each message of one run, so that an older one that comes late is dropped. */
  readonly sequence: number;
  readonly loads: readonly PeerLoad[];
  /** Engines that this VM has ordered to load weights. */
  readonly loading: readonly UpstreamId[];
}

/** Bytes of the proof at the beginning of a message. */
const PROOF_BYTES = 12;

const packr = new Packr({ useRecords: false });

const prove = (key: string, content: Buffer): Buffer =>
  createHmac('sha256', key).update(content).digest().subarray(0, PROOF_BYTES);

/** Encodes a message with a proof made with the sender's key. */
export const encodeGossip = (message: GossipMessage, key: string): Buffer => {
  const { vmId, sequence, loads, loading } = message;
  const rows = loads.map(({ upstreamId, inFlight, pendingTokens }) => [
    upstreamId,
    inFlight,
    Math.round(pendingTokens),
  ]);
  const content = packr.pack([vmId, sequence, rows, loading]);
  return Buffer.concat([prove(key, content), content]);
};

const decodeLoad = (row: unknown): PeerLoad[] => {
  if (!Array.isArray(row)) return [];
  const [upstreamId, inFlight, pendingTokens] = row as unknown[];
  if (typeof upstreamId !== 'string') return [];
  if (typeof inFlight !== 'number' || typeof pendingTokens !== 'number') return [];
  return [{ upstreamId: toId<UpstreamId>(upstreamId), inFlight, pendingTokens }];
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
  const [vmId, sequence, loads, loading] = fields as unknown[];
  if (typeof vmId !== 'string' || typeof sequence !== 'number') return undefined;
  if (!Array.isArray(loads) || !Array.isArray(loading)) return undefined;
  const key = findKey(toId<VmId>(vmId));
  const isProved =
    key !== undefined && timingSafeEqual(bytes.subarray(0, PROOF_BYTES), prove(key, content));
  if (!isProved) return undefined;
  return {
    vmId: toId<VmId>(vmId),
    sequence,
    loads: loads.flatMap(decodeLoad),
    loading: loading.filter((item): item is UpstreamId => typeof item === 'string'),
  };
};
