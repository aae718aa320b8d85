import { LeaseStream } from '@goldcrestscale/core';
import type { LeaseStreamPosition, LeaseStreamTail } from '@goldcrestscale/core';
import type { SharedLog } from '../ports/index.js';

const LEASE_KEY = 'weights';

/** Stores the lease of the rollout coordinator as records in the log. */
export class LogLeaseStream extends LeaseStream {
  constructor(private readonly log: SharedLog) {
    super();
  }

  override async read(signal: AbortSignal): Promise<LeaseStreamTail> {
    const { records, endOffset, era } = await this.log.readSnapshot('leases', signal);
    const newest = records.find(({ key }) => key === LEASE_KEY)?.value;
    return { holder: newest?.toString('utf8'), endOffset, era };
  }

  override appendAt(
    endOffset: number,
    holder: string,
    signal: AbortSignal,
  ): Promise<LeaseStreamPosition | undefined> {
    return this.log.appendAt(
      'leases',
      endOffset,
      { key: LEASE_KEY, value: Buffer.from(holder) },
      signal,
    );
  }
}
