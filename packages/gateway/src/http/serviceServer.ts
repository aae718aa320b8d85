import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { CallerProtocol } from '../ports/index.js';

/** What the small listeners answer with. */
export interface ServiceServerOptions {
  readonly protocol: CallerProtocol;
  readonly isReady: () => boolean;
  /** Undefined where the listener is not the directory's. */
  readonly listAddresses: ((zone: string | undefined) => readonly string[]) | undefined;
  readonly ttlMs: number;
  readonly renderMetrics: () => Promise<string>;
}

const METRICS_PATH = '/metrics';

/** Creates the listener for readiness checks, directory queries and metrics. */
export const createServiceServer = (options: ServiceServerOptions): Server =>
  createServer((request, response) => {
    const { protocol } = options;
    const query = options.listAddresses && protocol.parseDirectoryQuery(request);
    if (query) {
      const addresses = options.listAddresses?.(query.zone) ?? [];
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(protocol.encodeDirectoryAnswer(addresses, options.ttlMs));
    } else if (protocol.isReadinessCheck(request)) {
      response.writeHead(options.isReady() ? 200 : 503).end();
    } else if (request.url === METRICS_PATH) {
      void options.renderMetrics().then(
        (text) => response.end(text),
        () => response.writeHead(500).end(),
      );
    } else {
      response.writeHead(404).end();
    }
  });
