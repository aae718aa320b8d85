import { request as openRequest } from 'node:http';

/** Sends a request. @returns status, headers, body, and whether the answer is complete */
export const ask = (
  address,
  { method = 'GET', path = '/', headers = {}, body, limitMs = 15_000 },
) =>
  new Promise((resolve) => {
    const [host, port] = address.split(':');
    const sentAtMs = performance.now();
    const finish = (answer) =>
      resolve({ ...answer, tookMs: Math.round(performance.now() - sentAtMs) });
    const request = openRequest({ host, port, method, path, headers, agent: false }, (response) => {
      const chunks = [];
      const end = () =>
        finish({
          status: response.statusCode,
          headers: response.headers,
          body: Buffer.concat(chunks),
          isComplete: response.complete,
        });
      response.on('data', (chunk) => chunks.push(chunk));
      response.on('error', end);
      response.on('end', end);
    });
    request.on('error', (error) => finish({ status: 0, error: String(error) }));
    request.setTimeout(limitMs, () => request.destroy(new Error('no answer in time')));
    request.end(body);
  });
