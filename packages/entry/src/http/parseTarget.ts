import { createRefusal } from '@goldcrestscale/core';
import type { CompletionTarget, ExchangeTarget } from '../filters/exchange.js';
import { parseCompletion } from './parseCompletion.js';

const SERVICE_PATH = /^\/v1\/services\/([a-z0-9][a-z0-9._-]{0,62})(\/[^#]*)$/;

const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'] as const;

/** What the request line alone tells: a service call, or the path of a completion. */
type LineTarget = Exclude<ExchangeTarget, CompletionTarget> | Pick<CompletionTarget, 'path'>;

/**
 * Finds out what a request line asks for.
 *
 * @returns undefined where the path is not one of the system's
 * @throws GoldcrestError `bad_request`
 */
export const parseLine = (method: string, url: string): LineTarget | undefined => {
  const service = SERVICE_PATH.exec(url);
  if (service) return { kind: 'service', service: service[1] ?? '', path: service[2] ?? '/' };
  const path = COMPLETION_PATHS.find((one) => one === url.split('?')[0]);
  if (!path) return undefined;
  if (method !== 'POST') {
    throw createRefusal(`${path} takes POST only.`, { code: 'bad_request', status: 405 });
  }
  return { path };
};

/**
 * Finds out what a whole request asks for.
 *
 * @returns undefined where the path is not one of the system's
 * @throws GoldcrestError `bad_request`
 */
export const parseTarget = (
  method: string,
  url: string,
  body: Buffer,
): ExchangeTarget | undefined => {
  const line = parseLine(method, url);
  if (!line || 'kind' in line) return line;
  return parseCompletion(line.path, body);
};
