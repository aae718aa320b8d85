import { z } from 'zod';
import { toId } from '../ids.js';
import type { VmId } from '../ids.js';

/** Member states; within one incarnation, a later state in this list overrides an earlier one. */
export const MEMBER_STATES = ['live', 'suspect', 'leaving', 'dead'] as const;

export type MemberState = (typeof MEMBER_STATES)[number];

/** A state update about one member. */
export interface MemberUpdate {
  readonly vmId: VmId;
  readonly state: MemberState;
  /** Increases with each start of the member's process and each refutation. */
  readonly incarnation: number;
}

const MESSAGE_KINDS = ['heartbeat', 'ping', 'ack', 'pingRequest'] as const;

/** A message between two failure detectors. */
export interface DetectorMessage {
  readonly kind: (typeof MESSAGE_KINDS)[number];
  /** Sender's incarnation. */
  readonly incarnation: number;
  /** Sequence number of the probe that this message belongs to; 0 for a heartbeat. */
  readonly sequence: number;
  /** Member to probe; only with `pingRequest`. */
  readonly target?: VmId;
  readonly updates: readonly MemberUpdate[];
}

const updateSchema = z.tuple([z.string().min(1).max(128), z.int().min(0).max(3), z.number()]);

const messageSchema = z.tuple([
  z.int().min(0).max(3),
  z.number(),
  z.int().min(0),
  z.string().max(128),
  z.array(updateSchema).max(1_000),
]);

/** Encodes a message as a compact array. */
export const encodeDetectorMessage = (message: DetectorMessage): unknown => [
  MESSAGE_KINDS.indexOf(message.kind),
  message.incarnation,
  message.sequence,
  message.target ?? '',
  message.updates.map((update) => [
    update.vmId,
    MEMBER_STATES.indexOf(update.state),
    update.incarnation,
  ]),
];

/** Parses a received message; undefined if it is malformed. */
export const parseDetectorMessage = (value: unknown): DetectorMessage | undefined => {
  const result = messageSchema.safeParse(value);
  if (!result.success) return undefined;
  const [kind, incarnation, sequence, target, updates] = result.data;
  return {
    kind: MESSAGE_KINDS[kind] as DetectorMessage['kind'],
    incarnation,
    sequence,
    ...(target ? { target: toId<VmId>(target) } : {}),
    updates: updates.map(([vmId, state, updateIncarnation]) => ({
      vmId: toId<VmId>(vmId),
      state: MEMBER_STATES[state] as MemberState,
      incarnation: updateIncarnation,
    })),
  };
};
