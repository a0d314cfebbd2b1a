/**
 * How many entries an answer names, and the chance of each to be named.
 *
 * A caller uses the named entries alike. An entry that is named with chance `p`
 * in answers of `n` therefore gets `p / n` of the load. The chance is
 * `min(1, c * weight)`, with `c` such that the chances add up to `n`. Up to
 * `n = sum of weights / largest weight` the load is in proportion to the
 * weights. Larger answers change less from one to the next, but send more to
 * the entries of low weight.
 *
 * @module
 */

/** The size of an answer. */
export interface AnswerSize {
  /** The entries to name. */
  count: number;
  /** Chance of being named per weight; at most 1 results. */
  scale: number;
  /** The load of the busiest entry, relative to its share by weight. */
  busiest: number;
  /** The share of the load of one answer whose entries the next one names. */
  kept: number;
}

/** Load above the share by weight that is within the noise of random choice. */
const FREE_EXCESS = 1.1;
/**
 * Excess load that outweighs an answer in which nothing is kept. At most two
 * connections per request are opened anew then: requests take up to 2 s, and
 * answers are kept for 1 s.
 */
const CHANGE_COST = 0.2;

/**
 * Computes the size from `min` up to `max` at which the busiest entry has the
 * least load, including the cost of connections that are opened anew.
 */
export function computeAnswerSize(
  weights: Float64Array,
  { min, max }: { min: number; max: number },
): AnswerSize {
  const best: AnswerSize = { count: 0, scale: 0, busiest: 1, kept: 1 };
  const sorted = weights.slice().sort().reverse();
  const length = sorted.length;
  // Sums from each rank to the end, added from the smallest weight upwards
  // because subtracting large weights would lose the small ones.
  const sums = new Float64Array(length + 1);
  const squares = new Float64Array(length + 1);
  for (let rank = length - 1; rank >= 0; rank--) {
    const weight = sorted[rank]!;
    sums[rank] = sums[rank + 1]! + weight;
    squares[rank] = squares[rank + 1]! + weight * weight;
  }
  const largestCount = Math.min(max, length);
  let certain = 0;
  let leastCost = Infinity;
  for (
    let count = Math.min(min, largestCount);
    count <= largestCount;
    count++
  ) {
    // Entries whose chance reaches 1 leave the rest of the answer to others.
    while (
      certain < count && (count - certain) * sorted[certain]! >= sums[certain]!
    ) certain++;
    const isAll = certain === count;
    const scale = isAll
      ? 1 / sorted[count - 1]!
      : (count - certain) / sums[certain]!;
    const busiest = scale * sums[0]! / count;
    const kept = isAll
      ? 1
      : (certain + scale * scale * squares[certain]!) / count;
    const cost = Math.max(FREE_EXCESS, busiest) + CHANGE_COST * (1 - kept);
    if (!(cost <= leastCost)) continue;
    leastCost = cost;
    Object.assign(best, { count, scale, busiest, kept });
  }
  return best;
}
