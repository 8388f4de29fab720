/** Computes the largest number of backend servers that a service may have under the price limits. */
import type {PriceLimit} from '../../configuration/index.js';
import type {Offer} from './Offers.js';
import {getSpreadCost, spreadInstances, type DomainCost} from './Spread.js';

/** Input of `getReplicaLimit`. */
export interface ReplicaLimitView {
  /** Minimum number of backend servers that the operators have configured. */
  readonly floor: number;
  /** Offers within the price limits, cheapest first. */
  readonly offers: readonly Offer[];
  readonly availableDomains: readonly string[];
  readonly priceLimits: readonly PriceLimit[];
}

/** The limit never exceeds this multiple of the floor, even if prices allow more or no price limit is configured. */
const MAX_GROWTH_FACTOR = 4;

/**
 * Returns the largest number of backend servers, without spares, that costs no more per hour than the floor would cost
 * at the price limits. Undefined if no offer is known.
 * @param view - Floor, offers and price limits.
 */
export function getReplicaLimit(view: ReplicaLimitView): number | undefined {
  const {floor, offers, availableDomains, priceLimits} = view;
  const cheapest = availableDomains.flatMap(failureDomain => {
    const offer = offers.find(one => one.failureDomain === failureDomain);
    return offer ? [offer] : [];
  });
  if (cheapest.length === 0) return undefined;
  const maxLimit = floor * MAX_GROWTH_FACTOR;
  if (priceLimits.length === 0) return maxLimit;
  const costsAtLimit = cheapest.map(offer => toCostAtLimit(offer, priceLimits));
  const budget = getSpreadCost(spreadInstances(floor, cheapest), costsAtLimit);
  let limit = floor;
  while (limit < maxLimit && getCost(limit + 1, cheapest) <= budget) limit += 1;
  return limit;
}

function getCost(replicas: number, domains: readonly DomainCost[]): number {
  return getSpreadCost(spreadInstances(replicas, domains), domains);
}

function toCostAtLimit(
  {failureDomain, machineClass, costUsdPerHour}: Offer,
  priceLimits: readonly PriceLimit[],
): DomainCost {
  const limit = priceLimits.find(one => one.machineClass === machineClass);
  return {failureDomain, costUsdPerHour: limit?.maxPriceUsdPerHour ?? costUsdPerHour};
}
