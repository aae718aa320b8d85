import { createRefusal } from '@goldcrestscale/core';
import type { CompletionTarget, ExchangeTarget } from '../filters/exchange.js';
import { parseCompletion } from './parseCompletion.js';

const SERVICE_PATH_PATTERN = /^\/v1\/services\/([a-z0-9][a-z0-9._-]{0,62})(\/[^#]*)$/;

const COMPLETION_PATHS = ['/v1/chat/completions', '/v1/completions'] as const;

/** Target known from the request line alone: a service target, or the path of a completion. */
type RequestLineTarget = Exclude<ExchangeTarget, CompletionTarget> | Pick<CompletionTarget, 'path'>;

/**
 * Parses the method and URL of a request.
 *
 * @returns undefined if no route matches the path
 * @throws GoldcrestError `bad_request`
 */
export const parseRequestLine = (method: string, url: string): RequestLineTarget | undefined => {
  const service = SERVICE_PATH_PATTERN.exec(url);
  if (service) return { kind: 'service', service: service[1] ?? '', path: service[2] ?? '/' };
  const path = COMPLETION_PATHS.find((candidate) => candidate === url.split('?')[0]);
  if (!path) return undefined;
  if (method !== 'POST') {
    throw createRefusal(`${path} takes POST only.`, { code: 'bad_request', status: 405 });
  }
  return { path };
};

/**
 * Parses the target of a request, including the body of a completion.
 *
 * @returns undefined if no route matches the path
 * @throws GoldcrestError `bad_request`
 */
export const parseTarget = (
  method: string,
  url: string,
  body: Buffer,
): ExchangeTarget | undefined => {
  const lineTarget = parseRequestLine(method, url);
  if (!lineTarget || 'kind' in lineTarget) return lineTarget;
  return parseCompletion(lineTarget.path, body);
};
