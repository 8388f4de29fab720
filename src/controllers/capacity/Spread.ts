/**
 * Distributes instances over failure domains at least cost, with enough instances left after the loss of any one
 * domain.
 */

/** A failure domain and the expected cost per instance of its cheapest offer. */
export interface DomainCost {
  readonly failureDomain: string;
  readonly costUsdPerHour: number;
}

/** Number of instances in a failure domain. */
export interface DomainCount {
  readonly failureDomain: string;
  readonly count: number;
}

/**
 * Returns the cheapest spread that leaves `needed` instances after the loss of any one failure domain. With a single
 * failure domain no such spread exists; it gets `needed` instances.
 *
 * For each possible size of the largest domain, the cheapest domains are filled up to that size; the cheapest of these
 * spreads is the result.
 * @param needed - Instances that the load needs.
 * @param domains - Failure domains that may be used, each listed once.
 */
export function spreadInstances(
  needed: number,
  domains: readonly DomainCost[],
): readonly DomainCount[] {
  if (needed <= 0 || domains.length === 0) return [];
  const cheapestFirst = [...domains].sort(
    (one, other) =>
      one.costUsdPerHour - other.costUsdPerHour ||
      one.failureDomain.localeCompare(other.failureDomain),
  );
  if (domains.length === 1) return fill(cheapestFirst, needed, needed);
  const minLargest = Math.ceil(needed / (domains.length - 1));
  const spreads = Array.from({length: needed - minLargest + 1}, (ignored, index) => {
    const largest = minLargest + index;
    return fill(cheapestFirst, needed + largest, largest);
  });
  return spreads.reduce((best, spread) =>
    getSpreadCost(spread, domains) < getSpreadCost(best, domains) ? spread : best,
  );
}

/** Assigns `total` instances to the cheapest failure domains, at most `largest` to each. */
function fill(
  cheapestFirst: readonly DomainCost[],
  total: number,
  largest: number,
): readonly DomainCount[] {
  let remaining = total;
  return cheapestFirst.map(({failureDomain}) => {
    const count = Math.min(remaining, largest);
    remaining -= count;
    return {failureDomain, count};
  });
}

/**
 * Returns the cost of a spread in USD per hour.
 * @param spread - Instances by failure domain.
 * @param domains - Known costs. A failure domain that is missing here is assumed to cost as much as the most expensive
 * one.
 */
export function getSpreadCost(
  spread: readonly DomainCount[],
  domains: readonly DomainCost[],
): number {
  const maxCostUsdPerHour = Math.max(0, ...domains.map(({costUsdPerHour}) => costUsdPerHour));
  return spread.reduce((sum, {failureDomain, count}) => {
    const domain = domains.find(one => one.failureDomain === failureDomain);
    return sum + count * (domain?.costUsdPerHour ?? maxCostUsdPerHour);
  }, 0);
}
