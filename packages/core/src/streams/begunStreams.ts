import type { ClientAccountId, RequestId, ServiceName, SoftwareVersion } from '../ids.js';
import { MAX_BEGUN_STREAMS, STREAM_LIFE_MS } from './constants.js';

/** A stream whose first event a caller has received. */
export interface BegunStream {
  /** Request that brought the first event. */
  readonly requestId: RequestId;
  readonly service: ServiceName;
  /** Software version of the upstream that began it. */
  readonly version: SoftwareVersion;
  readonly account: ClientAccountId | undefined;
}

/** Remembers begun streams for as long as their callers may take them up again. */
export class BegunStreams {
  private recent = new Map<RequestId, BegunStream>();

  private previous = new Map<RequestId, BegunStream>();

  private rotatedAtMs = performance.now();

  record(stream: BegunStream): void {
    const isDue = performance.now() - this.rotatedAtMs >= STREAM_LIFE_MS;
    if (isDue || this.recent.size >= MAX_BEGUN_STREAMS / 2) this.rotate();
    this.recent.set(stream.requestId, stream);
  }

  find(requestId: RequestId): BegunStream | undefined {
    return this.recent.get(requestId) ?? this.previous.get(requestId);
  }

  private rotate(): void {
    this.previous = this.recent;
    this.recent = new Map();
    this.rotatedAtMs = performance.now();
  }
}
