import { sleep } from '@goldcrestscale/core';
import type { RejectionLimits, UpstreamRegistry } from '@goldcrestscale/core';
import { MAX_RATE_WAIT_MS, RATE_WAIT_OBJECTIVE_FRACTION, ROOM_POLL_MS } from '../constants.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { requireRoute } from '../filters/gatewayExchange.js';
import type { RequestProgress } from './requestProgress.js';
import type { UpstreamChooser } from './upstreamChooser.js';

/** Dependencies of the wait. */
export interface RoomWaitOptions {
  readonly chooser: UpstreamChooser;
  readonly registry: UpstreamRegistry;
  readonly rejectionLimits: RejectionLimits;
}

/** Lets requests wait for room at upstreams that must not be sent more than they have room for. */
export class RoomWait {
  constructor(private readonly options: RoomWaitOptions) {}

  /** Waits a moment. @returns whether an upstream may have room now; false at once if none will */
  async wait(
    exchange: GatewayExchange,
    progress: RequestProgress,
    signal: AbortSignal,
  ): Promise<boolean> {
    if (!this.canFindRoom(exchange, progress)) return false;
    const { objectiveMs } = requireRoute(exchange);
    const maxWaitMs = Math.min(MAX_RATE_WAIT_MS, objectiveMs * RATE_WAIT_OBJECTIVE_FRACTION);
    if (progress.startRoomWait() >= maxWaitMs) return false;
    await sleep(ROOM_POLL_MS, signal);
    return true;
  }

  /** Whether an upstream lacks nothing but room. */
  private canFindRoom(exchange: GatewayExchange, { service, excluded }: RequestProgress): boolean {
    const { chooser, registry, rejectionLimits } = this.options;
    return registry
      .listService(service)
      .some(
        (upstream) =>
          !rejectionLimits.hasRoom(upstream) && chooser.isEligible(exchange, upstream, excluded),
      );
  }
}
