import { createRefusal, toId } from '@goldcrestscale/core';
import type {
  BegunStream,
  RequestId,
  ServiceName,
  SoftwareVersion,
  TrackedUpstream,
  VersionsInUse,
} from '@goldcrestscale/core';
import { NO_CAPACITY_RETRY_AFTER_MS } from '../constants.js';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { requireRoute } from '../filters/gatewayExchange.js';
import type { RequestLog } from '../requestLog.js';

/** Dependencies of the stream continuity. */
export interface StreamContinuityOptions {
  readonly versions: VersionsInUse;
  /** Finds a stream that this VM has begun, or has read of. */
  readonly findKnown: (requestId: RequestId) => BegunStream | undefined;
  /** Finds a stream that any VM has begun; undefined if its version is not known. */
  readonly findBegun: (
    requestId: RequestId,
    signal: AbortSignal,
  ) => Promise<BegunStream | undefined>;
  /**
   * Reads the versions that the registry and the other VMs tell, from the log itself and not before
   * the call.
   *
   * @returns false if the log doesn't tell them in time
   */
  readonly readVersions: (signal: AbortSignal) => Promise<boolean>;
  readonly recordBegun: (stream: BegunStream) => void;
  readonly requestLog: RequestLog;
}

/** Where a stream has to go on. */
export interface StreamOrigin {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
}

/** Ignores streams of other accounts and of services to which the route does not lead. */
const selectOwn = (
  exchange: GatewayExchange,
  begun: BegunStream | undefined,
): BegunStream | undefined => {
  const isOwn =
    begun?.account === exchange.account?.id &&
    requireRoute(exchange).destinations.some(({ service }) => service === begun?.service);
  return isOwn ? begun : undefined;
};

interface ProvedOrigin extends StreamOrigin {
  /** What proves the version: a record of the stream, or that no other version serves. */
  readonly proof: 'record' | 'only version';
}

/**
 * Decides at which upstreams a stream may go on. What two software versions of a service write does
 * not fit together, and upstreams don't check it; so a stream goes on at the version that began it,
 * whether its caller takes it up again or the gateway resumes it within one answer.
 */
export class StreamContinuity {
  constructor(private readonly options: StreamContinuityOptions) {}

  /**
   * Finds where the stream began that a request takes up again; undefined for a new one.
   *
   * @throws a refusal if that can't be told
   */
  async resolveOrigin(
    exchange: GatewayExchange,
    service: ServiceName,
    signal: AbortSignal,
  ): Promise<StreamOrigin | undefined> {
    const { requestLog } = this.options;
    const { lastEventId, resumedRequestId, requestId } = exchange.head;
    if (!requireRoute(exchange).resumable) return undefined;
    if (lastEventId === undefined && resumedRequestId === undefined) return undefined;
    const origin = await this.findOrigin(exchange, service, signal);
    requestLog.log('stream taken up again', {
      id: requestId,
      resumes: resumedRequestId,
      lastEventId,
      version: origin?.version ?? 'unknown',
      proof: origin?.proof ?? 'none',
    });
    if (origin) return origin;
    throw createRefusal('The version that began this stream is not known; begin it anew.', {
      code: 'stream_origin_unknown',
      status: 503,
      retryAfterMs: NO_CAPACITY_RETRY_AFTER_MS,
    });
  }

  /** Records that the first event of a stream is being passed on. */
  recordFirstEvent(exchange: GatewayExchange, { registered }: TrackedUpstream): void {
    const { requestId } = exchange.head;
    const { softwareVersion: version, service } = registered;
    if (exchange.streamVersion !== undefined || version === undefined) return;

    exchange.streamVersion = version;
    if (requestId === undefined) return;
    const account = exchange.account?.id;
    this.options.recordBegun({ requestId: toId<RequestId>(requestId), service, version, account });
  }

  private async findOrigin(
    exchange: GatewayExchange,
    service: ServiceName,
    signal: AbortSignal,
  ): Promise<ProvedOrigin | undefined> {
    const { versions, findKnown, findBegun, readVersions } = this.options;
    const { resumedRequestId } = exchange.head;
    const { destinations } = requireRoute(exchange);
    const isMixed = (): boolean =>
      destinations.some((destination) => versions.findOnly(destination.service) === undefined);
    const id = resumedRequestId === undefined ? undefined : toId<RequestId>(resumedRequestId);
    const findRecorded = async (): Promise<BegunStream | undefined> =>
      id && selectOwn(exchange, await findBegun(id, signal));
    const known = id && selectOwn(exchange, findKnown(id));
    if (known) return { ...known, proof: 'record' };

    const wasMixed = isMixed();
    const recorded = wasMixed ? await findRecorded() : undefined;
    if (recorded) return { ...recorded, proof: 'record' };
    if (versions.findOnly(service) === undefined) return undefined;

    // What this VM has read so far may be older than the stream.
    if (!(await readVersions(signal))) return undefined;
    const recordedMeanwhile = !wasMixed && isMixed() ? await findRecorded() : undefined;
    if (recordedMeanwhile) return { ...recordedMeanwhile, proof: 'record' };
    const version = versions.findOnly(service);
    return version === undefined ? undefined : { service, version, proof: 'only version' };
  }
}
