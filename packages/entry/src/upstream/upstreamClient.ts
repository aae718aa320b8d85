import type { IncomingHttpHeaders } from 'node:http';
import { isGoldcrestError } from '@goldcrestscale/core';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { AttemptId, BootId, UpstreamView, Verdict } from '@goldcrestscale/core';
import { CONNECT_TIMEOUT_MS, STREAM_SILENCE_MS } from '../constants.js';
import type { BoundConnection } from './boundConnection.js';
import { createConnectionPool } from './connectionPool.js';
import type { ConnectionPool } from './connectionPool.js';
import {
  CONNECTION_CLOSED,
  createAttemptError,
  createCodedError,
  createUnavailableError,
  decideCallVerdict,
} from './upstreamError.js';

/** One HTTP call of an upstream. */
export interface UpstreamCall {
  readonly attemptId: AttemptId;
  readonly method: string;
  readonly path: string;
  readonly headers: Readonly<Record<string, string>>;
  readonly body?: Buffer | string;
  readonly signal: AbortSignal;
  /** Whether a successful answer must carry the attempt id; plain services don't know it. */
  readonly echoesAttempt: boolean;
  /**
   * Called with the run of the upstream at the other end of the connection, right before the
   * request is written; what it throws ends the call with nothing sent.
   */
  readonly beginSend?: ((connectionBootId: BootId) => void) | undefined;
}

/** Answer of an upstream whose head has been checked. */
export interface UpstreamAnswer {
  readonly status: number;
  readonly headers: IncomingHttpHeaders;
  readonly body: Dispatcher.ResponseData['body'];
}

/** Sends requests to upstreams. */
export interface UpstreamClient {
  /**
   * Sends one attempt and checks the head of its answer.
   *
   * @throws GoldcrestError with the verdict on the attempt
   */
  send(
    upstream: Pick<UpstreamView, 'address' | 'upstreamId'>,
    call: UpstreamCall,
  ): Promise<UpstreamAnswer>;
  /** Closes the connections. */
  close(): Promise<void>;
}

const KEEP_ALIVE_MS = 4_000;
const CONNECTIONS_PER_UPSTREAM = 256;
const BUSY_STATUS = 503;
const CONFLICT_STATUS = 409;

const decideHeadVerdict = (answer: UpstreamAnswer): Verdict | undefined => {
  if (answer.headers['x-not-run'] === 'true') return 'not-run';
  if (answer.status >= 500) return 'may-have-run';
  return undefined;
};

const isWeightConflict = (answer: UpstreamAnswer, call: UpstreamCall): boolean =>
  answer.status === CONFLICT_STATUS && call.headers['x-weight-version'] !== undefined;

const isOwnAnswer = (answer: UpstreamAnswer, call: UpstreamCall): boolean => {
  const echoed = answer.headers['x-attempt-id'];
  if (echoed !== undefined) return echoed === call.attemptId;
  return !call.echoesAttempt || answer.status >= 300;
};

/** Tells whether the upstream has swapped its weights since it reported their version. */
const hasSwapped = (answer: UpstreamAnswer, call: UpstreamCall): boolean => {
  const wanted = call.headers['x-weight-version'];
  const used = answer.headers['x-weight-version'];
  return wanted !== undefined && used !== undefined && used !== wanted;
};

const discardBody = (answer: UpstreamAnswer): void => {
  // The body ends with an error that nobody waits for.
  answer.body.on('error', () => undefined);
  answer.body.destroy();
};

const checkHead = async (answer: UpstreamAnswer, call: UpstreamCall): Promise<void> => {
  if (!isOwnAnswer(answer, call)) {
    discardBody(answer);
    throw createAttemptError('The upstream sent the answer of another request.', 'may-have-run');
  }
  if (isWeightConflict(answer, call)) {
    await answer.body.dump();
    throw createUnavailableError('The upstream holds another weight version.', 'not-run');
  }
  if (hasSwapped(answer, call)) {
    discardBody(answer);
    throw createUnavailableError('The upstream has swapped its weights.', 'may-have-run');
  }
  const verdict = decideHeadVerdict(answer);
  if (verdict === undefined) return;
  await answer.body.dump();
  const message = `The upstream answered with status ${answer.status}.`;
  throw answer.status === BUSY_STATUS && verdict === 'not-run'
    ? createUnavailableError(message, verdict)
    : createAttemptError(message, verdict);
};

type Target = Pick<UpstreamView, 'address' | 'upstreamId'>;

const buildRequest = (call: UpstreamCall) => ({
  method: call.method,
  headers: { ...call.headers, 'x-attempt-id': call.attemptId },
  body: call.body ?? null,
  signal: call.signal,
});

const createAgent = (): Agent =>
  new Agent({
    connections: CONNECTIONS_PER_UPSTREAM,
    pipelining: 1,
    keepAliveTimeout: KEEP_ALIVE_MS,
    connect: { timeout: CONNECT_TIMEOUT_MS },
    headersTimeout: 0,
    bodyTimeout: STREAM_SILENCE_MS,
  });

const openConnection = async (pool: ConnectionPool, target: Target): Promise<BoundConnection> => {
  try {
    return await pool.acquire(target.address);
  } catch {
    throw createAttemptError(`No connection to upstream ${target.upstreamId}.`, 'not-run');
  }
};

/** Sends over a connection that is known to lead to one run of the upstream. */
const sendBound = async (
  pool: ConnectionPool,
  target: Target,
  call: UpstreamCall,
): Promise<Dispatcher.ResponseData> => {
  const connection = await openConnection(pool, target);
  try {
    call.beginSend?.(connection.bootId);
  } catch (error) {
    pool.release(target.address, connection);
    throw error;
  }
  if (!connection.isOpen) throw createCodedError('the connection has ended', CONNECTION_CLOSED);
  try {
    const response = await connection.client.request({ ...buildRequest(call), path: call.path });
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
  const sendCall = (target: Target, call: UpstreamCall): Promise<Dispatcher.ResponseData> =>
    call.beginSend
      ? sendBound(pool, target, call)
      : request(`http://${target.address}${call.path}`, {
          ...buildRequest(call),
          dispatcher: agent,
        });
  return {
    async send(target, call) {
      try {
        const { statusCode: status, headers, body } = await sendCall(target, call);
        const answer = { status, headers, body };
        await checkHead(answer, call);
        return answer;
      } catch (cause) {
        if (isGoldcrestError(cause)) throw cause;
        throw createAttemptError(
          `The call of upstream ${target.upstreamId} failed.`,
          decideCallVerdict(cause),
        );
      }
    },
    async close() {
      pool.close();
      await agent.close();
    },
  };
};
