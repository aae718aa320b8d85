import type { IncomingHttpHeaders } from 'node:http';
import { isGoldcrestError } from '@goldcrestscale/core';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { AttemptId, BootId, UpstreamView, Verdict } from '@goldcrestscale/core';
import { BODY_IDLE_TIMEOUT_MS } from '../constants.js';
import type { BoundConnection } from './boundConnection.js';
import { createConnectionPool } from './connectionPool.js';
import type { ConnectionPool } from './connectionPool.js';
import { createUpstreamConnector } from './createUpstreamConnector.js';
import {
  CONNECTION_CLOSED_CODE,
  createAttemptError,
  createCodedError,
  createUnavailableError,
  decideTransportVerdict,
} from './upstreamErrors.js';

/** One HTTP call to an upstream. */
export interface UpstreamCall {
  readonly attemptId: AttemptId;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  readonly signal: AbortSignal;
  /** Whether a successful response must echo the attempt id; plain services don't. */
  readonly requiresAttemptIdEcho: boolean;
  /**
   * Called with the boot id of the upstream process at the other end of the connection, right
   * before the request is written; if it throws, the call fails with nothing sent.
   */
  readonly onBeforeSend?: ((connectionBootId: BootId) => void) | undefined;
}

/** Response of an upstream whose head has been validated. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Dispatcher.ResponseData['body'];
}

/** Sends requests to upstreams. */
export interface UpstreamClient {
  /**
   * Sends one attempt and validates the head of its response.
   *
   * @throws GoldcrestError with the verdict on the attempt
   */
  send(
    upstream: Pick<UpstreamView, 'address' | 'upstreamId'>,
    call: UpstreamCall,
  ): Promise<UpstreamResponse>;
  close(): Promise<void>;
}

const KEEP_ALIVE_TIMEOUT_MS = 4_000;
const MAX_CONNECTIONS_PER_UPSTREAM = 256;
const UNAVAILABLE_STATUS = 503;
const CONFLICT_STATUS = 409;

const decideErrorVerdict = (response: UpstreamResponse): Verdict | undefined => {
  if (response.headers['x-not-run'] === 'true') return 'not-run';
  if (response.status >= 500) return 'may-have-run';
  return undefined;
};

const isWeightVersionConflict = (response: UpstreamResponse, call: UpstreamCall): boolean =>
  response.status === CONFLICT_STATUS && call.headers['x-weight-version'] !== undefined;

const hasMatchingAttemptId = (response: UpstreamResponse, call: UpstreamCall): boolean => {
  const echoedId = response.headers['x-attempt-id'];
  if (echoedId !== undefined) return echoedId === call.attemptId;
  return !call.requiresAttemptIdEcho || response.status >= 300;
};

/** Returns whether the upstream has loaded other weights since it reported its version. */
const hasOtherWeightVersion = (response: UpstreamResponse, call: UpstreamCall): boolean => {
  const requested = call.headers['x-weight-version'];
  const served = response.headers['x-weight-version'];
  return requested !== undefined && served !== undefined && served !== requested;
};

const discardBody = (response: UpstreamResponse): void => {
  // Destroying the body emits an error that must not become an uncaught exception.
  response.body.on('error', () => undefined);
  response.body.destroy();
};

const validateResponseHead = async (
  response: UpstreamResponse,
  call: UpstreamCall,
): Promise<void> => {
  if (!hasMatchingAttemptId(response, call)) {
    discardBody(response);
    throw createAttemptError('The upstream sent the answer of another request.', 'may-have-run');
  }
  if (isWeightVersionConflict(response, call)) {
    await response.body.dump();
    throw createUnavailableError('The upstream holds another weight version.', 'not-run');
  }
  if (hasOtherWeightVersion(response, call)) {
    discardBody(response);
    throw createUnavailableError('The upstream has swapped its weights.', 'may-have-run');
  }
  const verdict = decideErrorVerdict(response);
  if (verdict === undefined) return;
  await response.body.dump();
  const message = `The upstream answered with status ${response.status}.`;
  throw response.status === UNAVAILABLE_STATUS && verdict === 'not-run'
    ? createUnavailableError(message, verdict)
    : createAttemptError(message, verdict);
};

type UpstreamTarget = Pick<UpstreamView, 'address' | 'upstreamId'>;

const buildRequestOptions = (call: UpstreamCall) => ({
  method: call.method,
  headers: { ...call.headers, 'x-attempt-id': call.attemptId },
  body: call.body ?? null,
  signal: call.signal,
});

const createAgent = (): Agent =>
  new Agent({
    connections: MAX_CONNECTIONS_PER_UPSTREAM,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
    connect: createUpstreamConnector(),
    headersTimeout: 0,
    bodyTimeout: BODY_IDLE_TIMEOUT_MS,
  });

const acquireConnection = async (
  pool: ConnectionPool,
  target: UpstreamTarget,
): Promise<BoundConnection> => {
  try {
    return await pool.acquire(target.address);
  } catch {
    throw createAttemptError(`No connection to upstream ${target.upstreamId}.`, 'not-run');
  }
};

/** Sends a call over a connection to a known upstream process. */
const sendBound = async (
  pool: ConnectionPool,
  target: UpstreamTarget,
  call: UpstreamCall,
): Promise<Dispatcher.ResponseData> => {
  const connection = await acquireConnection(pool, target);
  try {
    call.onBeforeSend?.(connection.bootId);
  } catch (error) {
    pool.release(target.address, connection);
    throw error;
  }
  if (!connection.isOpen)
    throw createCodedError('the connection is closed', CONNECTION_CLOSED_CODE);
  try {
    const response = await connection.client.request({
      ...buildRequestOptions(call),
      path: call.path,
    });
    response.body.once('end', () => pool.release(target.address, connection));
    return response;
  } catch (error) {
    connection.close();
    throw error;
  }
};

/** Creates a client with its own connection pools. */
export const createUpstreamClient = (): UpstreamClient => {
  const agent = createAgent();
  const pool = createConnectionPool();
  const sendCall = (
    target: UpstreamTarget,
    call: UpstreamCall,
  ): Promise<Dispatcher.ResponseData> =>
    call.onBeforeSend
      ? sendBound(pool, target, call)
      : request(`http://${target.address}${call.path}`, {
          ...buildRequestOptions(call),
          dispatcher: agent,
        });
  return {
    async send(target, call) {
      try {
        const { statusCode: status, headers, body } = await sendCall(target, call);
        const response = { status, headers, body };
        await validateResponseHead(response, call);
        return response;
      } catch (cause) {
        if (isGoldcrestError(cause)) throw cause;
        throw createAttemptError(
          `The call of upstream ${target.upstreamId} failed.`,
          decideTransportVerdict(cause),
        );
      }
    },
    async close() {
      pool.close();
      await agent.close();
    },
  };
};
