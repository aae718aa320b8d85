import { createRefusal } from '@goldcrestscale/core';
import type { ExchangeTarget } from '../filters/exchange.js';
import { parseCompletion } from './parseCompletion.js';

const SERVICE_PATH = /^\/v1\/services\/([a-z0-9][a-z0-9._-]{0,62})(\/[^#]*)$/;

const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'] as const;

/**
 * Finds out what a request asks for.
 *
 * @returns undefined where the path is not one of the system's
 * @throws GoldcrestError `bad_request`
 */
export const parseTarget = (
  method: string,
  url: string,
  body: Buffer,
): ExchangeTarget | undefined => {
  const service = SERVICE_PATH.exec(url);
  if (service) return { kind: 'service', service: service[1] ?? '', path: service[2] ?? '/' };
  const completion = COMPLETION_PATHS.find((path) => path === url.split('?')[0]);
  if (!completion) return undefined;
  if (method !== 'POST') {
    throw createRefusal(`${completion} takes POST only.`, { code: 'bad_request', status: 405 });
  }
  return parseCompletion(completion, body);
};
