import { Agent, request as openRequest } from 'node:http';

let lastNumber = 0;

/** Ids of client attempts; each attempt has its own. */
export const createAttemptId = () => {
  lastNumber += 1;
  return `a${process.pid}-${lastNumber}`;
};

export const createChannel = () => new Agent({ keepAlive: true, maxSockets: 1 });

/** Sends one client attempt. @returns what the client saw */
export const sendAttempt = ({
  address,
  host,
  path,
  method = 'GET',
  body = '',
  agent = false,
  deadlineMs = 2_500,
  headers = {},
  id = createAttemptId(),
}) =>
  new Promise((resolve) => {
    const [hostname, port] = address.split(':');
    const sentAtMs = performance.now();
    const finish = (end) => resolve({ id, method, path, address, sentAtMs, ...end });
    const request = openRequest(
      {
        hostname,
        port,
        agent,
        method,
        path,
        headers: {
          host,
          'x-goldcrestscale-attempt-id': id,
          'x-goldcrestscale-deadline-milliseconds': String(deadlineMs),
          ...headers,
        },
      },
      (response) => {
        const chunks = [];
        response.on('data', (chunk) => chunks.push(chunk));
        response.on('error', () => finish({ status: 0, text: 'cut' }));
        response.on('end', () =>
          finish({
            status: response.statusCode,
            headers: response.headers,
            text: Buffer.concat(chunks).toString(),
          }),
        );
      },
    );
    request.setTimeout(deadlineMs + 500, () => request.destroy());
    request.on('error', ({ message }) => finish({ status: 0, text: message }));
    request.end(body);
  });
