/** Demand of one account. */
export interface ShareDemand {
  readonly weight: number;
  /** Requests that run or wait. */
  readonly demand: number;
}

const computeNeed = ({ demand, weight }: ShareDemand): number => demand / weight;

/**
 * Computes the weighted max-min shares of a capacity: nobody gets more than its demand, and what
 * one leaves goes to the others in proportion to their weights.
 *
 * @returns the shares in the order of the demands
 */
export const computeShares = (
  capacity: number,
  demands: readonly ShareDemand[],
): readonly number[] => {
  const shares = demands.map(() => 0);
  const order = demands
    .map((_demand, index) => index)
    .sort((left, right) => computeNeed(demands[left]!) - computeNeed(demands[right]!));
  let left = Math.max(0, capacity);
  let weight = demands.reduce((sum, one) => sum + one.weight, 0);
  order.forEach((index) => {
    const one = demands[index]!;
    const share = Math.min(one.demand, weight > 0 ? (left * one.weight) / weight : 0);
    shares[index] = share;
    left -= share;
    weight -= one.weight;
  });
  return shares;
};
