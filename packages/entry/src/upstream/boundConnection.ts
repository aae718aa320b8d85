import { Client } from 'undici';
import type { buildConnector } from 'undici';
import { toId } from '@goldcrestscale/core';
import type { BootId } from '@goldcrestscale/core';
import { z } from 'zod';
import { BODY_IDLE_TIMEOUT_MS, CONTROL_CALL_TIMEOUT_MS, LOAD_REPORT_LIMITS } from '../constants.js';
import { createUpstreamConnector } from './createUpstreamConnector.js';
import { readControlJson } from './readControlJson.js';
import { CONNECTION_CLOSED_CODE, createCodedError } from './upstreamErrors.js';

const KEEP_ALIVE_TIMEOUT_MS = 4_000;

const loadReportSchema = z.object({ bootId: z.string().min(1) });

/** One connection to a known upstream process; it is never reopened to another process. */
export interface BoundConnection {
  readonly client: Client;
  readonly bootId: BootId;
  /** False once the connection is closed and nothing more can be sent on it. */
  readonly isOpen: boolean;
  close(): void;
}

/** Creates a connector that connects once, so that undici can't reconnect to another process. */
const createSingleConnector = (): buildConnector.connector => {
  const connect = createUpstreamConnector();
  let isUsed = false;
  return (options, callback) => {
    if (isUsed) {
      callback(createCodedError('the connection is closed', CONNECTION_CLOSED_CODE), null);
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
    headersTimeout: CONTROL_CALL_TIMEOUT_MS,
    bodyTimeout: CONTROL_CALL_TIMEOUT_MS,
  });
  const report = await readControlJson(response.body, LOAD_REPORT_LIMITS);
  return toId<BootId>(loadReportSchema.parse(report).bootId);
};

/**
 * Opens a connection and reads the boot id of the upstream process at its other end.
 *
 * @throws the error of the connection or of the load report; no caller request was sent
 */
export const openBoundConnection = async (address: string): Promise<BoundConnection> => {
  const client = new Client(`http://${address}`, {
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    headersTimeout: 0,
    bodyTimeout: BODY_IDLE_TIMEOUT_MS,
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
