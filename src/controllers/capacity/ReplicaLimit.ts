/** Gives the most backend servers that the price limits allow for a service. */
import type {PriceLimit} from '../../configuration/index.js';
import type {Offer} from './Offers.js';
import {getSpreadCost, spreadInstances, type DomainCost} from './Spread.js';

/** What the limit is worked out from. */
export interface ReplicaLimitView {
  /** Backend servers that the operators ask for at least. */
  readonly floor: number;
  /** Offers within the price limits, cheapest first. */
  readonly offers: readonly Offer[];
  readonly openDomains: readonly string[];
  readonly priceLimits: readonly PriceLimit[];
}

/** Largest multiple of the floor, also where prices would allow more or no limit is given. */
const MAX_GROWTH_FACTOR = 4;

/**
 * Returns the most backend servers, spares not counted, whose hourly cost stays within that of the floor at the limits of
 * price; undefined where no offer is known.
 * @param view - Floor, offers and limits.
 */
export function getReplicaLimit(view: ReplicaLimitView): number | undefined {
  const {floor, offers, openDomains, priceLimits} = view;
  const cheapest = openDomains.flatMap(failureDomain => {
    const offer = offers.find(one => one.failureDomain === failureDomain);
    return offer ? [offer] : [];
  });
  if (cheapest.length === 0) return undefined;
  const largest = floor * MAX_GROWTH_FACTOR;
  if (priceLimits.length === 0) return largest;
  const dearest = cheapest.map(offer => toLimitCost(offer, priceLimits));
  const budget = getSpreadCost(spreadInstances(floor, cheapest), dearest);
  let limit = floor;
  while (limit < largest && getCost(limit + 1, cheapest) <= budget) limit += 1;
  return limit;
}

function getCost(replicas: number, domains: readonly DomainCost[]): number {
  return getSpreadCost(spreadInstances(replicas, domains), domains);
}

function toLimitCost(
  {failureDomain, machineClass, costUsdPerHour}: Offer,
  priceLimits: readonly PriceLimit[],
): DomainCost {
  const limit = priceLimits.find(one => one.machineClass === machineClass);
  return {failureDomain, costUsdPerHour: limit?.maxPriceUsdPerHour ?? costUsdPerHour};
}
