import { MAX_HEARTBEAT_DELAY_MS } from '@goldcrestscale/core';
import type { RegisteredUpstream, UpstreamRegistry } from '@goldcrestscale/core';
import { SHARED_CHECK_MS } from '../constants.js';

/** Builds the key of one boot of an upstream. */
export const buildBootKey = ({ upstreamId, startedAtMs }: RegisteredUpstream): string =>
  `${upstreamId}/${startedAtMs}`;

/** Finds out from the registry whether one boot of an upstream ended when connections were lost. */
export class RegistryCheck {
  private readonly startedAtMs = performance.now();

  /** Boots that were registered at the address when the connections were lost. */
  private readonly knownBoots: ReadonlySet<string>;

  /** A heartbeat that may have been written before the connections were lost. */
  private lastDoubtfulHeartbeat = Infinity;

  constructor(
    private readonly registry: UpstreamRegistry,
    private readonly boot: RegisteredUpstream,
  ) {
    this.knownBoots = new Set(this.listBootsAtAddress());
  }

  /** @returns undefined while the registry shows neither an end nor life */
  findResult(): 'ended' | 'alive' | undefined {
    const entry = this.registry.find(this.boot.upstreamId)?.registered;
    if (entry?.startedAtMs !== this.boot.startedAtMs || this.hasSuccessor(entry)) return 'ended';
    if (entry.heartbeat > this.lastDoubtfulHeartbeat) return 'alive';
    const elapsedMs = performance.now() - this.startedAtMs;
    if (elapsedMs > SHARED_CHECK_MS + MAX_HEARTBEAT_DELAY_MS) {
      this.lastDoubtfulHeartbeat = Math.min(this.lastDoubtfulHeartbeat, entry.heartbeat);
    }
    return undefined;
  }

  /** Whether another upstream has come to the address, as one does that changes its id at a restart. */
  private hasSuccessor({ address }: RegisteredUpstream): boolean {
    return (
      address === this.boot.address &&
      this.listBootsAtAddress().some((bootKey) => !this.knownBoots.has(bootKey))
    );
  }

  private listBootsAtAddress(): readonly string[] {
    return this.registry
      .list()
      .filter(({ registered }) => registered.address === this.boot.address)
      .map(({ registered }) => buildBootKey(registered));
  }
}
