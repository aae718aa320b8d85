import type { IncomingMessage } from 'node:http';
import type { Prompt } from '@goldcrestscale/core';

/** What a caller's request head says beside method and path. */
export interface CallerHead {
  /** Names this request; undefined where the caller gave none or a bad one. */
  readonly requestId: string | undefined;
  /** Time for which the caller waits, in milliseconds. */
  readonly deadlineMs: number | undefined;
  readonly apiKey: string | undefined;
  readonly prompt: Prompt | undefined;
  /** Last event that the caller of a resumed stream has. */
  readonly lastEventId: string | undefined;
}

/** What callers ask the directory. */
export interface DirectoryQuery {
  readonly zone: string | undefined;
}

/** How callers and the platform's own checks speak to the gateway. */
export abstract class CallerProtocol {
  abstract parseHead(request: IncomingMessage): CallerHead;

  /** Headers of an answer of the gateway's own. */
  abstract buildRefusalHeaders(requestId: string | undefined): Record<string, string>;

  /** @returns undefined where the request is none of the directory's */
  abstract parseDirectoryQuery(request: IncomingMessage): DirectoryQuery | undefined;

  abstract encodeDirectoryAnswer(addresses: readonly string[], ttlMs: number): string;

  abstract isReadinessCheck(request: IncomingMessage): boolean;
}
