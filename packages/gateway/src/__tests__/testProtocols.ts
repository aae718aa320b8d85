import type { IncomingMessage } from 'node:http';
import { toId } from '@goldcrestscale/core';
import type { ModelId, PromptPartId, UpstreamId } from '@goldcrestscale/core';
import type { GatewayExchange } from '../filters/gatewayExchange.js';
import { CallerProtocol, UpstreamProtocol } from '../ports/index.js';
import type {
  ResponseHead,
  AttemptMetadata,
  BlockEvents,
  BlockEventsQuery,
  CallerRequestHead,
  EngineState,
  OrderOutcome,
} from '../ports/index.js';

const getHeader = (request: IncomingMessage, name: string): string | undefined => {
  const value = request.headers[name];
  return typeof value === 'string' ? value : undefined;
};

/** A minimal caller protocol with short header names. */
export class TestCallerProtocol extends CallerProtocol {
  override parseHead(request: IncomingMessage): CallerRequestHead {
    if (getHeader(request, 'x-fault') !== undefined) throw new Error('fault of the test protocol');
    const deadline = getHeader(request, 'x-wait');
    return {
      requestId: getHeader(request, 'x-id'),
      timeoutMs: deadline === undefined ? undefined : Number(deadline),
      apiKey: getHeader(request, 'x-key'),
      prompt: getHeader(request, 'x-model')
        ? {
            model: toId<ModelId>(getHeader(request, 'x-model')!),
            inputTokens: Number(getHeader(request, 'x-tokens') ?? 100),
            maxOutputTokens: 10,
            parts: (getHeader(request, 'x-parts') ?? '')
              .split(',')
              .filter((id) => id !== '')
              .map((id) => ({ id: toId<PromptPartId>(id), tokens: 10 })),
          }
        : undefined,
      lastEventId: getHeader(request, 'x-last'),
      resumedRequestId: getHeader(request, 'x-resumes'),
    };
  }

  override buildErrorHeaders(requestId: string | undefined): Record<string, string> {
    return requestId === undefined ? {} : { 'x-id': requestId };
  }

  override parseDirectoryQuery(): undefined {
    return undefined;
  }

  override encodeDirectoryResponse(): string {
    return '';
  }

  override isReadinessCheck(): boolean {
    return false;
  }
}

type Headers = Readonly<Record<string, string | string[] | undefined>>;

const asText = (value: string | string[] | undefined): string | undefined =>
  Array.isArray(value) ? value[0] : value;

/** A minimal upstream protocol without control calls. */
export class TestUpstreamProtocol extends UpstreamProtocol {
  override buildHeaders(exchange: GatewayExchange, metadata: AttemptMetadata): string[] {
    return [
      'x-id',
      exchange.head.requestId ?? '',
      'x-expect',
      metadata.upstreamId,
      'x-left',
      String(metadata.remainingMs),
      'x-parts',
      (exchange.head.prompt?.parts ?? []).map(({ id }) => id).join(','),
      ...(metadata.lastEventId === undefined ? [] : ['last-event-id', metadata.lastEventId]),
    ];
  }

  override parseResponseHead(
    status: number,
    headers: Headers,
    rawHeaders: readonly string[],
  ): ResponseHead {
    if (headers['x-fault'] !== undefined) throw new Error('fault of the test protocol');
    const instance = asText(headers['x-instance']);
    return {
      status,
      requestId: asText(headers['x-id']),
      respondingUpstreamId: instance === undefined ? undefined : toId<UpstreamId>(instance),
      isSigned: headers['x-sig'] !== undefined,
      isNotExecuted: headers['x-not-run'] !== undefined,
      isMisdirected: status === 421,
      load:
        headers['x-slowdown'] === undefined
          ? undefined
          : { running: 0, waiting: 0, slots: 8, slowdown: Number(headers['x-slowdown']) },
      weights: undefined,
      coldRemainingMs: undefined,
      isLeaving: headers['x-leaving'] !== undefined,
      restMs: headers['x-rest'] === undefined ? undefined : Number(headers['x-rest']),
      invalidRest: undefined,
      announcedRate: {
        perSecond: headers['x-limit'] === undefined ? undefined : Number(headers['x-limit']),
        invalid: undefined,
      },
      rejectionLimit: {
        perSecond: headers['x-rejects'] === undefined ? undefined : Number(headers['x-rejects']),
        invalid: undefined,
      },
      forwardedHeaders: rawHeaders.filter((_item, index, all) => {
        const name = all[index - (index % 2)]!.toLowerCase();
        return !['connection', 'keep-alive', 'transfer-encoding', 'content-length'].includes(name);
      }),
    };
  }

  override readEngineState(): Promise<EngineState> {
    throw new Error('not used');
  }

  override sendOrder(): Promise<OrderOutcome> {
    throw new Error('not used');
  }

  override readBlockEvents(_query: BlockEventsQuery): Promise<BlockEvents> {
    throw new Error('not used');
  }

  override releaseBlocks(): Promise<void> {
    throw new Error('not used');
  }

  override close(): void {
    // Nothing to close.
  }
}
