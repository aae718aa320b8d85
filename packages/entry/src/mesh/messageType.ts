import type { VmId } from '@goldcrestscale/core';
import type { z } from 'zod';
import { MeshError } from './meshError.js';
import type { MessageContext, PeerTransport } from './peerTransport.js';

/** Message type whose payload is validated by the receiver and whose reply by the requester. */
export interface MessageType<Payload, Reply> {
  readonly name: string;
  /** Registers the handler of this message type. */
  register(
    link: PeerTransport,
    handler: (payload: Payload, context: MessageContext) => Reply | Promise<Reply>,
  ): void;
  /**
   * Sends a request to a peer and waits for its reply.
   *
   * @throws MeshError
   */
  request(
    link: PeerTransport,
    vmId: VmId,
    payload: Payload,
    signal: AbortSignal,
    timeoutMs?: number,
  ): Promise<Reply>;
  /** Sends a one-way message; false if it was definitely not sent. */
  send(link: PeerTransport, vmId: VmId, payload: Payload): boolean;
}

const parseOrThrow = <Value>(schema: z.ZodType<Value>, value: unknown, subject: string): Value => {
  const result = schema.safeParse(value);
  if (!result.success) throw new MeshError(`${subject} does not match its schema`, 'malformed');
  return result.data;
};

/** Defines a message type from the schemas of its payload and reply. */
export const defineMessage = <Payload, Reply = void>(
  name: string,
  payloadSchema: z.ZodType<Payload>,
  replySchema?: z.ZodType<Reply>,
): MessageType<Payload, Reply> => ({
  name,
  register(link, handler) {
    link.register(name, (payload, context) =>
      handler(parseOrThrow(payloadSchema, payload, `payload of "${name}"`), context),
    );
  },
  async request(link, vmId, payload, signal, timeoutMs) {
    const reply = await link.request(vmId, name, payload, signal, timeoutMs);
    return replySchema ? parseOrThrow(replySchema, reply, `reply to "${name}"`) : (reply as Reply);
  },
  send: (link, vmId, payload) => link.send(vmId, name, payload),
});
