import { sleep } from '@goldcrestscale/core';
import type { UpstreamReach, UpstreamRegistry } from '@goldcrestscale/core';
import { findConnectFailure } from '../dispatch/connectionError.js';
import { connectSocket } from '../dispatch/upstreamLink.js';

/** Interval at which an upstream is asked while this VM is cut off or may be, in milliseconds. */
const PROBE_INTERVAL_MS = 500;

/** Time that an upstream has to answer, in milliseconds. */
const PROBE_TIMEOUT_MS = 1_000;

/** Any answer will do. */
const buildProbe = (address: string): string =>
  `HEAD / HTTP/1.1\r\nhost: ${address}\r\nconnection: close\r\n\r\n`;

/** Dependencies of the probe. */
export interface ReachProbeOptions {
  readonly registry: UpstreamRegistry;
  readonly reach: UpstreamReach;
}

/** Finds out whether a VM that reaches no upstream, or may reach none, reaches one of them. */
export class ReachProbe {
  private nextIndex = 0;

  constructor(private readonly options: ReachProbeOptions) {}

  async run(signal: AbortSignal): Promise<void> {
    while (!signal.aborted) {
      const { reach } = this.options;
      if (reach.isCutOff || reach.isSuspect) this.probeNext();
      await sleep(PROBE_INTERVAL_MS, signal);
    }
  }

  private probeNext(): void {
    const { registry, reach } = this.options;
    const addresses = registry.list().map(({ registered }) => registered.address);
    const others = addresses.filter((address) => !reach.hasFailed(address));
    const candidates = others.length > 0 ? others : addresses;
    const address = candidates[this.nextIndex % Math.max(1, candidates.length)];
    this.nextIndex += 1;
    if (address === undefined) return;
    const socket = connectSocket(address);
    let isConnected = false;
    const timer = setTimeout(() => {
      if (!isConnected) reach.recordFailure(address, true);
      socket.destroy();
    }, PROBE_TIMEOUT_MS);
    socket.once('connect', () => {
      isConnected = true;
      reach.recordConnect();
      socket.write(buildProbe(address));
    });
    socket.once('data', () => {
      reach.recordContact();
      socket.destroy();
    });
    socket.on('error', (error) => {
      const isUnreachable = !isConnected && findConnectFailure(error) === 'unreachable';
      if (isUnreachable) reach.recordFailure(address, true);
      socket.destroy();
    });
    socket.once('close', () => clearTimeout(timer));
  }
}
