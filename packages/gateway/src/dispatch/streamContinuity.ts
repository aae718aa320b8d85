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
  readonly recordBegun: (stream: BegunStream) => void;
  readonly requestLog: RequestLog;
}

/** Where a stream has to go on. */
export interface StreamOrigin {
  readonly service: ServiceName;
  readonly version: SoftwareVersion;
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
    const { versions, requestLog } = this.options;
    const { lastEventId, resumedRequestId, requestId } = exchange.head;
    if (!requireRoute(exchange).resumable) return undefined;
    if (lastEventId === undefined && resumedRequestId === undefined) return undefined;
    const begun = await this.findOwnBegun(exchange, signal);
    const version = begun?.version ?? versions.findOnly(service);
    requestLog.log('stream taken up again', {
      id: requestId,
      resumes: resumedRequestId,
      lastEventId,
      version: version ?? 'unknown',
      isRecorded: begun !== undefined,
    });
    if (version !== undefined) return { service: begun?.service ?? service, version };
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

  /** Ignores streams of other accounts and of services to which the route does not lead. */
  private async findOwnBegun(
    exchange: GatewayExchange,
    signal: AbortSignal,
  ): Promise<BegunStream | undefined> {
    const { versions, findKnown, findBegun } = this.options;
    const { resumedRequestId } = exchange.head;
    const { destinations } = requireRoute(exchange);
    if (resumedRequestId === undefined) return undefined;
    // The streams of a service with a single version are not written, so there is nothing to read.
    const isSingle = destinations.every(({ service }) => versions.findOnly(service) !== undefined);
    const id = toId<RequestId>(resumedRequestId);
    const begun = isSingle ? findKnown(id) : await findBegun(id, signal);
    const isOwn =
      begun?.account === exchange.account?.id &&
      destinations.some(({ service }) => service === begun?.service);
    return isOwn ? begun : undefined;
  }
}
