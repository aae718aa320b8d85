/**
 * Computes the max-min fair limit: no member that wants more than it may have while another has
 * more than the limit. Infinity where all demands fit.
 */
export const computeFairLimit = (capacity: number, demands: readonly number[]): number => {
  const sorted = demands.filter((demand) => demand > 0).sort((left, right) => left - right);
  let rest = capacity;
  for (const [index, demand] of sorted.entries()) {
    const share = rest / (sorted.length - index);
    if (demand > share) return Math.max(1, Math.floor(share));
    rest -= demand;
  }
  return Infinity;
};
