/** Demand of one account. */
export interface ShareDemand {
  readonly weight: number;
  /** Running and waiting requests. */
  readonly demand: number;
}

const computeNormalizedDemand = ({ demand, weight }: ShareDemand): number => demand / weight;

/**
 * Computes weighted max-min fair shares of a capacity: no account gets more than its demand, and
 * unused capacity is divided among the others in proportion to their weights.
 *
 * @returns the shares, in the order of the demands
 */
export const computeMaxMinShares = (
  capacity: number,
  demands: readonly ShareDemand[],
): readonly number[] => {
  const shares = demands.map(() => 0);
  const ascendingOrder = demands
    .map((_demand, index) => index)
    .sort(
      (left, right) =>
        computeNormalizedDemand(demands[left]!) - computeNormalizedDemand(demands[right]!),
    );
  let remainingCapacity = Math.max(0, capacity);
  let remainingWeight = demands.reduce((sum, one) => sum + one.weight, 0);
  ascendingOrder.forEach((index) => {
    const entry = demands[index]!;
    const share = Math.min(
      entry.demand,
      remainingWeight > 0 ? (remainingCapacity * entry.weight) / remainingWeight : 0,
    );
    shares[index] = share;
    remainingCapacity -= share;
    remainingWeight -= entry.weight;
  });
  return shares;
};
