import { createHmac, timingSafeEqual } from 'node:crypto';
import { Packr } from 'msgpackr';
import { toId } from '@goldcrestscale/core';
import type { VmId } from '@goldcrestscale/core';

/** Size of the truncated MAC at the start of a datagram. */
const MAC_BYTES = 12;

const packr = new Packr({ useRecords: false });

const computeMac = (key: string, content: Buffer): Buffer =>
  createHmac('sha256', key).update(content).digest().subarray(0, MAC_BYTES);

/** Encodes the fields of a message after the id of its sender, and prepends a MAC with its key. */
export const encodeDatagram = (sender: VmId, fields: readonly unknown[], key: string): Buffer => {
  const content = packr.pack([sender, ...fields]);
  return Buffer.concat([computeMac(key, content), content]);
};

/** An authenticated message. */
export interface MeshDatagram {
  readonly sender: VmId;
  readonly fields: readonly unknown[];
}

/**
 * Decodes a datagram and verifies its MAC.
 *
 * @param findKey finds the key of a VM, from its heartbeat in the log
 * @returns undefined if it is invalid or fails authentication
 */
export const decodeDatagram = (
  bytes: Buffer,
  findKey: (vmId: VmId) => string | undefined,
): MeshDatagram | undefined => {
  const content = bytes.subarray(MAC_BYTES);
  if (content.length === 0) return undefined;
  let unpacked: unknown;
  try {
    unpacked = packr.unpack(content);
  } catch {
    // Anyone can send a datagram, so undecodable ones are ignored.
    return undefined;
  }
  if (!Array.isArray(unpacked)) return undefined;
  const [senderId, ...fields] = unpacked as unknown[];
  if (typeof senderId !== 'string') return undefined;
  const sender = toId<VmId>(senderId);
  const key = findKey(sender);
  const isAuthentic =
    key !== undefined && timingSafeEqual(bytes.subarray(0, MAC_BYTES), computeMac(key, content));
  return isAuthentic ? { sender, fields } : undefined;
};
