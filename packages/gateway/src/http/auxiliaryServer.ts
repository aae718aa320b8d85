import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { CallerProtocol } from '../ports/index.js';

/** Dependencies of an auxiliary server. */
export interface AuxiliaryServerOptions {
  readonly protocol: CallerProtocol;
  readonly isReady: () => boolean;
  /** Undefined if the server does not serve the directory. */
  readonly listAddresses: ((zone: string | undefined) => readonly string[]) | undefined;
  readonly ttlMs: number;
  readonly renderMetrics: () => Promise<string>;
}

const METRICS_PATH = '/metrics';

/** Creates an HTTP server for readiness checks, metrics and, optionally, directory queries. */
export const createAuxiliaryServer = (options: AuxiliaryServerOptions): Server =>
  createServer((request, response) => {
    const { protocol } = options;
    const query = options.listAddresses && protocol.parseDirectoryQuery(request);
    if (query) {
      const addresses = options.listAddresses?.(query.zone) ?? [];
      response.writeHead(200, { 'content-type': 'application/json' });
      response.end(protocol.encodeDirectoryResponse(addresses, options.ttlMs));
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
