import { expect, test } from 'vitest';
import type { SocketShare } from '@goldcrestscale/runtime';
import { createSocketShares } from '../socketShares.js';

const openAll = (share: SocketShare): number => {
  while (share.tryOpen());
  return share.openCount;
};

// Guards against callers that take the descriptors of upstreams, log and readiness checks.
test.each([
  [4_100, 3_592],
  [400, 104],
])('of %i descriptors, callers get what others have not reserved', (fileDescriptors, callers) => {
  const shares = createSocketShares(fileDescriptors);
  expect(openAll(shares.callers)).toBe(callers);
  const { callers: taken, ...others } = shares;
  Object.values(others).forEach((share) =>
    expect(openAll(share)).toBeGreaterThanOrEqual(share.limits.reserved),
  );
  const open = Object.values(shares).reduce((sum, { openCount }) => sum + openCount, 0);
  expect(open).toBeLessThanOrEqual(fileDescriptors - 200);
  expect(taken.openCount).toBe(callers);
});
