import type { ServiceRow } from './rows.js';

const REPEATED_SLASHES = /\/{2,}/g;

/** Brings a path into the form that prefixes are compared with; undefined where it has none. */
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

/** Tells whether a call of a plain service must not run more than once. */
export const isUnrepeatableCall = (row: ServiceRow, method: string, path: string): boolean => {
  const normal = normalizePath(path);
  return row.unrepeatable.some((call) => {
    if (call.method !== method.toUpperCase()) return false;
    // A path that has no normal form might be any of the calls.
    return normal === undefined || hasPrefix(normal, call.pathPrefix);
  });
};
