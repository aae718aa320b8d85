import type { ConfigTable } from '@goldcrestscale/core';
import type { Exchange } from '../../filters/exchange.js';

const REPEATED_SLASHES = /\/{2,}/g;

/** Brings a path into the form that prefixes are compared with; undefined where it has none. */
const normalizePath = (path: string): string | undefined => {
  try {
    const { pathname } = new URL(path.replace(REPEATED_SLASHES, '/'), 'http://service');
    const decoded = decodeURIComponent(pathname).replace(REPEATED_SLASHES, '/');
    return new URL(decoded, 'http://service').pathname.toLowerCase();
  } catch {
    return undefined;
  }
};

const hasPrefix = (path: string, prefix: string): boolean => {
  const base = prefix.toLowerCase().replace(/\/+$/, '');
  return path === base || path.startsWith(`${base}/`);
};

/** Tells whether an exchange must not run more than once. */
export const isUnrepeatable = (table: ConfigTable, exchange: Exchange): boolean => {
  if (exchange.workload?.idempotent === false) return true;
  const { target } = exchange;
  if (target.kind !== 'service') return false;
  const path = normalizePath(target.path);
  const calls = table.getService(target.service)?.unrepeatable ?? [];
  // A path that has no normal form might be any of the calls.
  return calls.some(
    (call) =>
      call.method === exchange.method.toUpperCase() &&
      (path === undefined || hasPrefix(path, call.pathPrefix)),
  );
};
