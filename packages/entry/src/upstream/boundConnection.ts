import { buildConnector, Client } from 'undici';
import { toId } from '@goldcrestscale/core';
import type { BootId } from '@goldcrestscale/core';
import { z } from 'zod';
import { CONNECT_TIMEOUT_MS, CONTROL_TIMEOUT_MS, STREAM_SILENCE_MS } from '../constants.js';
import { CONNECTION_CLOSED, createCodedError } from './upstreamError.js';

const KEEP_ALIVE_MS = 4_000;

const bootSchema = z.object({ bootId: z.string().min(1) });

/** One connection that leads to a known run of an upstream and never to another. */
export interface BoundConnection {
  readonly client: Client;
  readonly bootId: BootId;
  /** False once the connection has ended; nothing can be sent on it any more. */
  readonly isOpen: boolean;
  close(): void;
}

/** Creates a connector that connects once; a lost connection is never replaced in silence. */
const createSingleConnector = (): buildConnector.connector => {
  const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
  let isUsed = false;
  return (options, callback) => {
    if (isUsed) {
      callback(createCodedError('the connection has ended', CONNECTION_CLOSED), null);
      return;
    }
    isUsed = true;
    connect(options, callback);
  };
};

const readBootId = async (client: Client): Promise<BootId> => {
  const response = await client.request({
    method: 'GET',
    path: '/load',
    headersTimeout: CONTROL_TIMEOUT_MS,
    bodyTimeout: CONTROL_TIMEOUT_MS,
  });
  return toId<BootId>(bootSchema.parse(await response.body.json()).bootId);
};

/**
 * Opens a connection and asks over it which run of the upstream is at the other end.
 *
 * @throws what the connection or the load report fails with; no request was sent
 */
export const openBoundConnection = async (address: string): Promise<BoundConnection> => {
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    headersTimeout: 0,
    bodyTimeout: STREAM_SILENCE_MS,
    connect: createSingleConnector(),
  });
  let isOpen = true;
  const close = (): void => {
    isOpen = false;
    void client.destroy();
  };
  client.once('disconnect', close);
  try {
    const bootId = await readBootId(client);
    return {
      client,
      bootId,
      get isOpen() {
        return isOpen;
      },
      close,
    };
  } catch (error) {
    close();
    throw error;
  }
};
