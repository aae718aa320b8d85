import { expect, test } from 'vitest';
import { createError } from '@goldcrestscale/core';
import type { ErrorProperties, Verdict } from '@goldcrestscale/core';
import { createMetricsRegistry } from '@goldcrestscale/runtime';
import type { Logger } from '@goldcrestscale/runtime';
import { createEntryMetrics } from '../../metrics.js';
import { ErrorResponseFilter } from '../errorResponseFilter.js';
import type { Exchange } from '../exchange.js';

/** Runs a request that fails, and gives the status and the body of its response. */
const failRequest = async (
  properties: Partial<ErrorProperties>,
  reachedVerdict: Verdict = 'not-run',
): Promise<{ status: number; body: string }> => {
  const sent = { status: 0, body: '' };
  const exchange = {
    requestId: 'id',
    signal: new AbortController().signal,
    verdict: reachedVerdict,
    response: {
      isHeadSent: false,
      writeHead(status: number) {
        sent.status = status;
      },
      async write(body: string) {
        sent.body = body;
      },
      finish: () => undefined,
    },
  } as unknown as Exchange;
  const metrics = createEntryMetrics(createMetricsRegistry());
  await new ErrorResponseFilter({} as Logger, metrics).handle(exchange, async () => {
    throw createError('failed', {
      code: 'upstream_failed',
      status: 503,
      verdict: 'not-run',
      ...properties,
    });
  });
  return sent;
};

// Guards against a status by which a caller or a proxy repeats a request that may have run.
test.each([408, 421, 429, 503])(
  'status %i is sent only if the request has not run',
  async (status) => {
    expect((await failRequest({ status })).status).toBe(status);
    const unsure = await failRequest({ status, verdict: 'may-have-run' });
    expect(unsure.status).toBe(502);
    expect(JSON.parse(unsure.body)).toMatchObject({
      error: { code: 'upstream_failed', type: 'server_error', verdict: 'may-have-run' },
    });
    expect((await failRequest({ status }, 'may-have-run')).status).toBe(502);
    expect((await failRequest({ status }, 'ran')).status).toBe(502);
  },
);
