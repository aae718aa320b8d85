/**
 * Computes the max-min fair limit per VM: a demand is cut to the limit only if no other VM gets
 * more than the limit. Infinity if all demands fit.
 */
export const computeFairLimit = (capacity: number, demands: readonly number[]): number => {
  const sorted = demands.filter((demand) => demand > 0).sort((left, right) => left - right);
  let remainingCapacity = capacity;
  for (const [index, demand] of sorted.entries()) {
    const share = remainingCapacity / (sorted.length - index);
    if (demand > share) return Math.max(1, Math.floor(share));
    remainingCapacity -= demand;
  }
  return Infinity;
};
