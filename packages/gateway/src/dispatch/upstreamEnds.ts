import { connect } from 'node:net';
import { sleep } from '@goldcrestscale/core';
import type { TrackedUpstream, UpstreamBoot, UpstreamRegistry } from '@goldcrestscale/core';
import {
  END_PROBE_DELAY_MS,
  END_PROBE_TIMEOUT_MS,
  REGISTRY_END_POLL_MS,
  REGISTRY_END_TIMEOUT_MS,
} from '../constants.js';
import { splitAddress } from '../socketAddress.js';

type ProbeResult = 'refused' | 'accepted' | 'no-answer';

/** Opens a connection and closes it again. */
const probeAddress = (address: string): Promise<ProbeResult> =>
  new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: END_PROBE_TIMEOUT_MS });
    const finish = (result: ProbeResult): void => {
      socket.destroy();
      resolve(result);
    };
    socket.once('connect', () => finish('accepted'));
    socket.once('timeout', () => finish('no-answer'));
    socket.once('error', ({ code }: NodeJS.ErrnoException) =>
      finish(code === 'ECONNREFUSED' ? 'refused' : 'no-answer'),
    );
  });

/**
 * Tells the end of an upstream from the loss of a connection to it: an upstream that has ended
 * refuses the next connection, or its registry entry goes or belongs to another boot.
 */
export class UpstreamEnds {
  /** One check for all requests that a boot of an upstream loses. */
  private readonly checks = new Map<string, Promise<boolean>>();

  constructor(private readonly registry: UpstreamRegistry) {}

  /** Finds out whether an upstream that lost a connection of this VM has ended. */
  checkEnd({ registered }: TrackedUpstream): Promise<boolean> {
    const { upstreamId, startedAtMs, address } = registered;
    const key = `${upstreamId}/${startedAtMs}`;
    const running = this.checks.get(key);
    if (running) return running;
    const check = this.probeBoot({ upstreamId, startedAtMs }, address).finally(() =>
      this.checks.delete(key),
    );
    this.checks.set(key, check);
    return check;
  }

  private async probeBoot(boot: UpstreamBoot, address: string): Promise<boolean> {
    await sleep(END_PROBE_DELAY_MS);
    const result = await probeAddress(address);
    if (result !== 'no-answer') return result === 'refused';
    const giveUpAtMs = performance.now() + REGISTRY_END_TIMEOUT_MS;
    while (performance.now() < giveUpAtMs) {
      if (this.registry.find(boot.upstreamId)?.registered.startedAtMs !== boot.startedAtMs) {
        return true;
      }
      await sleep(REGISTRY_END_POLL_MS);
    }
    return false;
  }
}
