import type { ServiceRow } from './rows.js';

const REPEATED_SLASHES = /\/{2,}/g;

/** Normalizes a path for prefix matching; undefined if it cannot be normalized. */
const normalizePath = (path: string): string | undefined => {
  try {
    const { pathname } = new URL(`http://service/${path}`);
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

/** Whether a call to a plain service must not be executed more than once. */
export const isNonIdempotentCall = (row: ServiceRow, method: string, path: string): boolean => {
  const normalizedPath = normalizePath(path);
  return row.unrepeatable.some((call) => {
    if (call.method !== method.toUpperCase()) return false;
    // A path that cannot be normalized may match any of the calls.
    return normalizedPath === undefined || hasPrefix(normalizedPath, call.pathPrefix);
  });
};
