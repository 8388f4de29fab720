/** Spreads instances over failure domains so that the loss of any one still leaves enough, at least cost. */

/** A failure domain with the cost of its cheapest offer. */
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
 * Returns the cheapest spread that leaves `needed` instances after the loss of any one failure domain. With one failure
 * domain there is no such spread; it gets what the load needs.
 * @param needed - Instances that carry the load.
 * @param domains - Failure domains that may be used, each once.
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
  const leastLargest = Math.ceil(needed / (domains.length - 1));
  const spreads = Array.from({length: needed - leastLargest + 1}, (ignored, index) => {
    const largest = leastLargest + index;
    return fill(cheapestFirst, needed + largest, largest);
  });
  return spreads.reduce((best, spread) =>
    getSpreadCost(spread, domains) < getSpreadCost(best, domains) ? spread : best,
  );
}

/** Fills the cheapest failure domains up to `largest` each. */
function fill(
  cheapestFirst: readonly DomainCost[],
  total: number,
  largest: number,
): readonly DomainCount[] {
  let left = total;
  return cheapestFirst.map(({failureDomain}) => {
    const count = Math.min(left, largest);
    left -= count;
    return {failureDomain, count};
  });
}

/**
 * Returns the cost of a spread per hour. A failure domain without an offer counts as the dearest.
 * @param spread - The spread.
 * @param domains - Failure domains with their costs.
 */
export function getSpreadCost(
  spread: readonly DomainCount[],
  domains: readonly DomainCost[],
): number {
  const dearest = Math.max(0, ...domains.map(({costUsdPerHour}) => costUsdPerHour));
  return spread.reduce((sum, {failureDomain, count}) => {
    const domain = domains.find(one => one.failureDomain === failureDomain);
    return sum + count * (domain?.costUsdPerHour ?? dearest);
  }, 0);
}
