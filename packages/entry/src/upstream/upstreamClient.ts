import type { IncomingHttpHeaders } from 'node:http';
import { isGoldcrestError } from '@goldcrestscale/core';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { AttemptId, BootId, UpstreamView, Verdict } from '@goldcrestscale/core';
import type { InputBarrier } from '@goldcrestscale/runtime';
import { BODY_IDLE_TIMEOUT_MS, CONTROL_CALL_TIMEOUT_MS } from '../constants.js';
import type { BoundConnection } from './boundConnection.js';
import { createConnectionPool } from './connectionPool.js';
import type { ConnectionPool } from './connectionPool.js';
import { createUpstreamConnector } from './createUpstreamConnector.js';
import type { ResponseMemory } from './responseBodyReader.js';
import {
  CONNECTION_CLOSED_CODE,
  createAttemptError,
  createCodedError,
  createUnavailableError,
  decideTransportVerdict,
  findTransportEnd,
} from './upstreamErrors.js';

/** One HTTP call to an upstream. */
export interface UpstreamCall {
  readonly attemptId: AttemptId;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  /** Whether a successful response must echo the attempt id; plain services don't. */
  readonly requiresAttemptIdEcho: boolean;
}

/** A call on behalf of a caller. */
export interface CallerCall extends UpstreamCall {
  readonly signal: AbortSignal;
  /**
   * Called with the boot id of the upstream process at the other end of the connection, right
   * before the request is written; if it throws, the call fails with nothing sent.
   */
  readonly onBeforeSend: (connectionBootId: BootId) => void;
}

/** Response of an upstream whose head has been validated. */
export interface UpstreamResponse {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Dispatcher.ResponseData['body'];
}

/** Upstream that a call is sent to. */
type UpstreamTarget = Pick<UpstreamView, 'address' | 'upstreamId'>;

/** Sends requests to upstreams. */
export interface UpstreamClient {
  /** Memory for the bodies that are read. */
  readonly memory: ResponseMemory;
  /**
   * Sends one attempt and validates the head of its response.
   *
   * @throws GoldcrestError with the verdict on the attempt
   */
  send(upstream: UpstreamTarget, call: CallerCall): Promise<UpstreamResponse>;
  /**
   * Sends a call of this VM's own, to whichever process has the upstream's address.
   *
   * @throws GoldcrestError with the verdict on the call
   */
  sendControlCall(upstream: UpstreamTarget, call: UpstreamCall): Promise<UpstreamResponse>;
  close(): Promise<void>;
}

const KEEP_ALIVE_TIMEOUT_MS = 4_000;
const MAX_CONNECTIONS_PER_UPSTREAM = 256;

/** Number of connections that may close while the requests that acquired them wait to be written. */
const MAX_CONNECTION_TRIES = 3;

const MIN_FAILURE_STATUS = 300;
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
  return !call.requiresAttemptIdEcho || response.status >= MIN_FAILURE_STATUS;
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
    throw createUnavailableError(
      'The upstream holds another weight version.',
      'not-run',
      'rejected',
    );
  }
  if (hasOtherWeightVersion(response, call)) {
    discardBody(response);
    throw createUnavailableError('The upstream has swapped its weights.', 'may-have-run');
  }
  const verdict = decideErrorVerdict(response);
  if (verdict === undefined) return;
  await response.body.dump();
  const end = verdict === 'not-run' ? 'rejected' : 'answered';
  const message = `The upstream answered with status ${response.status}.`;
  throw response.status === UNAVAILABLE_STATUS && verdict === 'not-run'
    ? createUnavailableError(message, verdict, end)
    : createAttemptError(message, verdict, end);
};

const buildRequestOptions = (call: UpstreamCall) => ({
  method: call.method,
  headers: { ...call.headers, 'x-attempt-id': call.attemptId },
  body: call.body ?? null,
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
    throw createAttemptError(
      `No connection to upstream ${target.upstreamId}.`,
      'not-run',
      'unreachable',
    );
  }
};

/** Dependencies of calls on behalf of callers. */
interface CallerCallOptions {
  readonly pool: ConnectionPool;
  readonly inputBarrier: InputBarrier;
}

/**
 * Writes a call. Nothing is awaited between its check and the write.
 *
 * @returns the pending response; undefined, with nothing sent, if the connection is closed
 */
const writeCall = (
  pool: ConnectionPool,
  target: UpstreamTarget,
  connection: BoundConnection,
  call: CallerCall,
): { readonly pending: Promise<Dispatcher.ResponseData> } | undefined => {
  if (!connection.isOpen) return undefined;
  try {
    call.onBeforeSend(connection.bootId);
  } catch (error) {
    pool.release(target.address, connection);
    throw error;
  }
  return {
    pending: connection.client.request({
      ...buildRequestOptions(call),
      path: call.path,
      signal: call.signal,
    }),
  };
};

/**
 * Whether a response is a refusal or failure that names no attempt. An upstream may write it once more,
 * and nothing would tell the next call on the connection that it is not its own.
 */
const isUnidentifiedFailure = ({ statusCode, headers }: Dispatcher.ResponseData): boolean =>
  statusCode >= MIN_FAILURE_STATUS && headers['x-attempt-id'] === undefined;

/** Sends a call over a connection to a known upstream process. */
const sendBound = async (
  { pool, inputBarrier }: CallerCallOptions,
  target: UpstreamTarget,
  call: CallerCall,
): Promise<Dispatcher.ResponseData> => {
  for (let tries = 0; tries < MAX_CONNECTION_TRIES; tries += 1) {
    const connection = await acquireConnection(pool, target);
    const written = await inputBarrier.run(() => writeCall(pool, target, connection, call));
    if (written) {
      try {
        const response = await written.pending;
        response.body.once('end', () => {
          if (isUnidentifiedFailure(response)) connection.close();
          else pool.release(target.address, connection);
        });
        return response;
      } catch (error) {
        connection.close();
        throw error;
      }
    }
  }
  throw createCodedError('the connection is closed', CONNECTION_CLOSED_CODE);
};

/**
 * Creates a client with its own connection pools.
 *
 * @param inputBarrier what has arrived before is read before a caller's request is written
 */
export const createUpstreamClient = (
  inputBarrier: InputBarrier,
  memory: ResponseMemory,
): UpstreamClient => {
  const agent = createAgent();
  const pool = createConnectionPool();
  const receive = async (
    { upstreamId }: UpstreamTarget,
    call: UpstreamCall,
    send: () => Promise<Dispatcher.ResponseData>,
  ): Promise<UpstreamResponse> => {
    try {
      const { statusCode: status, headers, body } = await send();
      const response = { status, headers, body };
      await validateResponseHead(response, call);
      return response;
    } catch (cause) {
      if (isGoldcrestError(cause)) throw cause;
      throw createAttemptError(
        `The call of upstream ${upstreamId} failed.`,
        decideTransportVerdict(cause),
        findTransportEnd(cause),
      );
    }
  };
  return {
    memory,
    send: (target, call) =>
      receive(target, call, () => sendBound({ pool, inputBarrier }, target, call)),
    sendControlCall: (target, call) =>
      receive(target, call, () =>
        request(`http://${target.address}${call.path}`, {
          ...buildRequestOptions(call),
          dispatcher: agent,
          // Counted from the write.
          headersTimeout: CONTROL_CALL_TIMEOUT_MS,
          bodyTimeout: CONTROL_CALL_TIMEOUT_MS,
        }),
      ),
    async close() {
      pool.close();
      await agent.close();
    },
  };
};
