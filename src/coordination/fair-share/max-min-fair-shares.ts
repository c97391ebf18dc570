/** Remainders below this are rounding errors and count as zero. */
const EPSILON = 1e-9;

/**
 * Divides `available` among the demands by max-min fairness: equal shares, but no demand gets more than it asks for. Returns
 * the share of each demand, in the same order.
 */
export function maxMinFairShares(demands: readonly number[], available: number): number[] {
  const shares = demands.map(() => 0);
  let left = Math.max(0, available);
  let unmet = demands.map((_, i) => i);
  while (unmet.length > 0 && left > EPSILON) {
    const equalShare = left / unmet.length;
    const met = unmet.filter((i) => demands[i]! <= equalShare);
    if (met.length === 0) {
      for (const i of unmet) shares[i] = equalShare;
      break;
    }
    for (const i of met) {
      shares[i] = demands[i]!;
      left -= demands[i]!;
    }
    unmet = unmet.filter((i) => !met.includes(i));
  }
  return shares;
}
