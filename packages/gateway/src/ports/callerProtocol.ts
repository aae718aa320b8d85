import type { IncomingMessage } from 'node:http';
import type { Prompt } from '@goldcrestscale/core';

/** The parsed request head, except for method and path. */
export interface CallerRequestHead {
  /** Request id; undefined if it is missing or invalid. */
  readonly requestId: string | undefined;
  /** The caller's timeout. */
  readonly timeoutMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Id of the last event that the caller of a resumed stream has received. */
  readonly lastEventId: string | undefined;
  /** Request that brought the first event of a resumed stream; undefined if its caller doesn't tell. */
  readonly resumedRequestId?: string | undefined;
}

/** A caller's query of the address directory. */
export interface DirectoryQuery {
  readonly zone: string | undefined;
}

/** Protocol of callers and of the platform's readiness checks. */
export abstract class CallerProtocol {
  abstract parseHead(request: IncomingMessage): CallerRequestHead;

  /** Builds the headers of an error response of the gateway itself. */
  abstract buildErrorHeaders(requestId: string | undefined): Record<string, string>;

  /** @returns undefined if the request is not a directory query */
  abstract parseDirectoryQuery(request: IncomingMessage): DirectoryQuery | undefined;

  abstract encodeDirectoryResponse(addresses: readonly string[], ttlMs: number): string;

  abstract isReadinessCheck(request: IncomingMessage): boolean;
}
