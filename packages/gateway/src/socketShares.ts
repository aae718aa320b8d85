import { SocketBudget } from '@goldcrestscale/runtime';
import type { SocketShare } from '@goldcrestscale/runtime';
import type { ListenerName } from './connectionMetrics.js';

/** Descriptors that are left for files. */
const FILE_DESCRIPTORS_FOR_FILES = 200;

/** Fraction of the descriptors that are for sockets at least. */
const MIN_SOCKET_FRACTION = 0.5;

/** A part of the gateway that has sockets. */
export type SocketUser = ListenerName | 'log' | 'upstreams';

/** Sockets of one part: the fraction that is reserved, at least a number, and the largest fraction. */
interface ShareRule {
  readonly reservedFraction: number;
  readonly minReserved: number;
  readonly maxFraction: number;
}

/** Callers get what the others leave. */
const SHARE_RULES: Readonly<Record<SocketUser, ShareRule>> = {
  callers: { reservedFraction: 0.25, minReserved: 16, maxFraction: 1 },
  upstreams: { reservedFraction: 0.05, minReserved: 32, maxFraction: 0.5 },
  log: { reservedFraction: 0.005, minReserved: 16, maxFraction: 0.005 },
  mesh: { reservedFraction: 0.01, minReserved: 16, maxFraction: 0.25 },
  directory: { reservedFraction: 0.01, minReserved: 16, maxFraction: 0.25 },
  readiness: { reservedFraction: 0.002, minReserved: 8, maxFraction: 0.02 },
  metrics: { reservedFraction: 0.002, minReserved: 8, maxFraction: 0.02 },
};

/** Shares of all parts in the sockets of the process. */
export type SocketShares = Readonly<Record<SocketUser, SocketShare>>;

/** Divides the descriptors of the process, so that no part can take those that another one needs. */
export const createSocketShares = (fileDescriptors: number): SocketShares => {
  const sockets = Math.floor(
    Math.max(fileDescriptors - FILE_DESCRIPTORS_FOR_FILES, fileDescriptors * MIN_SOCKET_FRACTION),
  );
  const budget = new SocketBudget(sockets);
  const createShare = (user: SocketUser): SocketShare => {
    const { reservedFraction, minReserved, maxFraction } = SHARE_RULES[user];
    const reserved = Math.max(minReserved, Math.floor(sockets * reservedFraction));
    return budget.createShare({
      reserved,
      max: Math.max(reserved, Math.floor(sockets * maxFraction)),
    });
  };
  return {
    callers: createShare('callers'),
    upstreams: createShare('upstreams'),
    log: createShare('log'),
    mesh: createShare('mesh'),
    directory: createShare('directory'),
    readiness: createShare('readiness'),
    metrics: createShare('metrics'),
  };
};
