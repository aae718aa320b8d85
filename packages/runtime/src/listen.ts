import type { Server } from 'node:net';

/** Address on which a server listens. */
export interface ListenAddress {
  readonly host: string;
  readonly port: number;
}

/** Starts a server; rejects if it can't listen, for example because the address is in use. */
export const listen = (server: Server, { host, port }: ListenAddress): Promise<void> =>
  new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, () => {
      server.off('error', reject);
      resolve();
    });
  });
