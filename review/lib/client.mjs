/** Stand-in of a client: one channel that it keeps open, one request at a time. */
import { Agent, request as openRequest } from 'node:http';
import { randomBytes } from 'node:crypto';
import { LOOPBACK, readAll } from './net.mjs';
import { HEADER } from './service.mjs';

export const createChannel = () => new Agent({ keepAlive: true, maxSockets: 1 });

/**
 * Sends one request and reads its answer.
 *
 * @returns the attempt's id and its outcome; status 0 if the channel ended without a whole answer
 */
export const sendRequest = ({
  port,
  host,
  path,
  method = 'GET',
  body = '',
  limitMs = 8_000,
  agent,
}) =>
  new Promise((resolve) => {
    const attempt = randomBytes(8).toString('hex');
    const sentAt = performance.now();
    const request = openRequest({
      host: LOOPBACK,
      port,
      method,
      path,
      agent,
      headers: {
        host,
        [HEADER.attempt]: attempt,
        [HEADER.deadline]: String(limitMs),
        'content-length': Buffer.byteLength(body),
      },
    });
    const timer = setTimeout(() => request.destroy(new Error('time limit')), limitMs);
    const finish = (outcome) => {
      clearTimeout(timer);
      resolve({ attempt, sentAt, endedAt: performance.now(), ...outcome });
    };
    request.on('response', (response) => {
      readAll(response).then(
        (content) =>
          finish({
            status: response.complete ? response.statusCode : 0,
            isSigned: response.headers[HEADER.signature] !== undefined,
            content: content.toString(),
            failure: '',
          }),
        (error) => finish({ status: 0, isSigned: false, content: '', failure: error.message }),
      );
    });
    request.on('error', (error) =>
      finish({ status: 0, isSigned: false, content: '', failure: error.message }),
    );
    request.end(body);
  });
