import type { VmId } from '@goldcrestscale/core';
import type { z } from 'zod';
import { MeshError } from './meshError.js';
import type { MessageContext, PeerLink } from './peerLink.js';

/** A message type whose payload and reply are checked on both sides. */
export interface MessageType<Payload, Reply> {
  readonly name: string;
  /** Registers the handler of this type. */
  register(
    link: PeerLink,
    handler: (payload: Payload, context: MessageContext) => Reply | Promise<Reply>,
  ): void;
  /** Asks a peer; throws a MeshError. */
  request(
    link: PeerLink,
    vmId: VmId,
    payload: Payload,
    signal: AbortSignal,
    timeoutMs?: number,
  ): Promise<Reply>;
  /** Sends without a reply; false where it was surely not sent. */
  send(link: PeerLink, vmId: VmId, payload: Payload): boolean;
}

const parseWith = <Value>(schema: z.ZodType<Value>, value: unknown, what: string): Value => {
  const result = schema.safeParse(value);
  if (!result.success) throw new MeshError(`${what} does not match its schema`, 'malformed');
  return result.data;
};

/** Defines a message type by the schemas of its payload and reply. */
export const defineMessage = <Payload, Reply = void>(
  name: string,
  payloadSchema: z.ZodType<Payload>,
  replySchema?: z.ZodType<Reply>,
): MessageType<Payload, Reply> => ({
  name,
  register(link, handler) {
    link.register(name, (payload, context) =>
      handler(parseWith(payloadSchema, payload, `payload of "${name}"`), context),
    );
  },
  async request(link, vmId, payload, signal, timeoutMs) {
    const reply = await link.request(vmId, name, payload, signal, timeoutMs);
    return replySchema ? parseWith(replySchema, reply, `reply to "${name}"`) : (reply as Reply);
  },
  send: (link, vmId, payload) => link.send(vmId, name, payload),
});
