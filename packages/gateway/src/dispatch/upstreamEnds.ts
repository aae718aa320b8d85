import { connect } from 'node:net';
import { sleep } from '@goldcrestscale/core';
import type { RegisteredUpstream, TrackedUpstream, UpstreamRegistry } from '@goldcrestscale/core';
import {
  END_PROBE_DELAY_MS,
  END_PROBE_TIMEOUT_MS,
  REGISTRY_END_POLL_MS,
  REGISTRY_END_TIMEOUT_MS,
  SHARED_CHECK_MS,
} from '../constants.js';
import { splitAddress } from '../socketAddress.js';
import { RegistryCheck, buildBootKey } from './registryCheck.js';

/** Connects to an address. @returns whether the connection was refused */
const probeRefusal = (address: string): Promise<boolean> =>
  new Promise((resolve) => {
    const socket = connect({ ...splitAddress(address), timeout: END_PROBE_TIMEOUT_MS });
    const finish = (isRefused: boolean): void => {
      socket.destroy();
      resolve(isRefused);
    };
    socket.once('connect', () => finish(false));
    socket.once('timeout', () => finish(false));
    socket.once('error', ({ code }: NodeJS.ErrnoException) => finish(code === 'ECONNREFUSED'));
  });

/** A check for the losses of one boot at about the same time. */
interface SharedCheck {
  readonly startedAtMs: number;
  readonly result: Promise<boolean>;
}

/**
 * Tells the end of an upstream from the loss of a connection to it. An upstream that has ended
 * refuses the next connection, or the registry shows another boot, another upstream at its address or
 * no entry. A connection that is accepted says nothing, because an upstream that was restarted at
 * once accepts it too; a later heartbeat of the same boot shows that it lives on.
 */
export class UpstreamEnds {
  private readonly checks = new Map<string, SharedCheck>();

  constructor(private readonly registry: UpstreamRegistry) {}

  /** Finds out whether an upstream that lost a connection of this VM has ended. */
  checkEnd({ registered }: TrackedUpstream): Promise<boolean> {
    const key = buildBootKey(registered);
    const startedAtMs = performance.now();
    const last = this.checks.get(key);
    if (last && startedAtMs - last.startedAtMs < SHARED_CHECK_MS) return last.result;
    const check = { startedAtMs, result: this.checkBoot(registered) };
    this.checks.set(key, check);
    void check.result.finally(() => {
      if (this.checks.get(key) === check) this.checks.delete(key);
    });
    return check.result;
  }

  private async checkBoot(boot: RegisteredUpstream): Promise<boolean> {
    const registryCheck = new RegistryCheck(this.registry, boot);
    await sleep(END_PROBE_DELAY_MS);
    if (await probeRefusal(boot.address)) return true;
    const giveUpAtMs = performance.now() + REGISTRY_END_TIMEOUT_MS;
    while (performance.now() < giveUpAtMs) {
      const result = registryCheck.findResult();
      if (result) return result === 'ended';
      await sleep(REGISTRY_END_POLL_MS);
    }
    return false;
  }
}
