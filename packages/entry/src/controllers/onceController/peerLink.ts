import type { VmId } from '@goldcrestscale/core';

/** Failure of a request to another entry VM. */
export class PeerLinkError extends Error {
  override readonly name = 'PeerLinkError';

  constructor(
    message: string,
    /** Whether the other VM may have handled the request. */
    readonly delivered: 'no' | 'unknown',
  ) {
    super(message);
  }
}

/** Sends requests to other entry VMs. */
export abstract class PeerLink {
  /** @throws PeerLinkError where no answer came */
  abstract request(
    vmId: VmId,
    type: string,
    payload: unknown,
    signal: AbortSignal,
  ): Promise<unknown>;
}
