import { performance } from 'node:perf_hooks';
import type { ByteBudget, SocketShare } from '@goldcrestscale/runtime';

/**
 * Creates a reader of the part that was in use of what this VM has least of: time of the event loop since
 * the last call, which a VM with a small part of a core has less of, memory and sockets for callers.
 */
export const createUtilizationReader = (
  budget: Pick<ByteBudget, 'heldBytes' | 'limitBytes'>,
  callers: Pick<SocketShare, 'openCount' | 'limits'>,
): (() => number) => {
  let last = performance.eventLoopUtilization();
  return () => {
    const current = performance.eventLoopUtilization();
    const { utilization } = performance.eventLoopUtilization(current, last);
    last = current;
    const memory = budget.heldBytes / budget.limitBytes;
    const sockets = callers.openCount / callers.limits.max;
    return Math.min(1, Math.max(utilization, memory, sockets));
  };
};
