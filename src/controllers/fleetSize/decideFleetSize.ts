/** Decides how many on-demand and reclaimable backend servers of a service are ordered in each failure domain. */
import type {ReplicaBounds} from '../../catalog/index.js';
import {getUsableShare} from './NeededServers.js';

/** Available backend servers of a service in one failure domain. */
export interface DomainFleet {
  readonly failureDomain: string;
  /** On-demand servers that accept requests. */
  readonly onDemand: number;
  /** Reclaimable servers that accept requests. */
  readonly reclaimable: number;
  /** Whether the platform refuses to start reclaimable servers there, or those that it starts now haven't booted. */
  readonly refusesReclaimable: boolean;
}

/** Input of `decideFleetSize`: one service's limits, servers and load. */
export interface FleetView {
  readonly bounds: ReplicaBounds;
  readonly domains: readonly DomainFleet[];
  /** Servers that the load needs over all failure domains; may be a fraction. */
  readonly neededServers: number;
  /** Those of them without which the present load isn't carried; on-demand servers fill the gap up to these only. */
  readonly leastServers: number;
  /** Those of them that just carry the load. */
  readonly loadServers: number;
}

/** Number of servers to run in one failure domain; the platform starts or stops servers until it is reached. */
export interface DomainOrder {
  readonly failureDomain: string;
  readonly onDemand: number;
  readonly reclaimable: number;
}

/**
 * On-demand servers that are ordered during a reclaim in addition to the missing ones, since the next failure domain is
 * often reclaimed soon after the first.
 */
const RECLAIM_RESERVE_SERVERS = 2;

/**
 * Returns the servers to order in each failure domain.
 *
 * Reclaimable servers are spread evenly over all failure domains, with enough spares to lose one domain. While fewer of
 * them accept requests than the present load needs, on-demand servers in the cheapest domains fill the gap; they are released
 * once enough reclaimable servers are available again. Where reclaimable servers are refused, on-demand ones take the
 * places that are kept for them as soon as the next reclaim would leave too few servers.
 * @param view - Limits, servers and load of one service.
 */
export function decideFleetSize(view: FleetView): readonly DomainOrder[] {
  const {bounds, domains, neededServers, leastServers} = view;
  const wantedReclaimable = getReclaimablePerDomain(view);
  const reclaimable = domains.reduce((sum, domain) => sum + domain.reclaimable, 0);
  const reserve = isBeingReclaimed(domains) ? RECLAIM_RESERVE_SERVERS : 0;
  const offersReclaimable = bounds.reclaimablePriceShare !== undefined;
  const wanted = (offersReclaimable ? leastServers : neededServers) + reserve;
  const missing = Math.max(0, Math.ceil(wanted - reclaimable));
  const survives = survivesNextReclaim(view);
  const onDemand = placeOnDemand(view, missing, domain =>
    getOnDemandRoom(bounds, domain, wantedReclaimable, !survives),
  );
  return domains.map(({failureDomain}) => {
    const minOnDemand = Math.max(0, bounds.minPerDomain - wantedReclaimable);
    return {
      failureDomain,
      onDemand: Math.max(minOnDemand, onDemand.get(failureDomain) ?? 0),
      reclaimable: wantedReclaimable,
    };
  });
}

/** Returns whether the load would still be carried if the failure domain with most reclaimable servers were reclaimed. */
function survivesNextReclaim({domains, loadServers}: FleetView): boolean {
  const counts = domains.map(({reclaimable}) => reclaimable);
  const total = counts.reduce((sum, count) => sum + count, 0);
  return total - Math.max(0, ...counts) >= loadServers;
}

/** A reclaim is assumed while some, but not all, failure domains have no reclaimable servers. */
function isBeingReclaimed(domains: readonly DomainFleet[]): boolean {
  const reclaimed = domains.filter(({reclaimable}) => reclaimable === 0);
  return reclaimed.length > 0 && reclaimed.length < domains.length;
}

function getReclaimablePerDomain({bounds, domains, neededServers}: FleetView): number {
  if (bounds.reclaimablePriceShare === undefined) return 0;
  const withSpares = neededServers / getUsableShare(domains.length);
  const wanted = Math.ceil(withSpares / Math.max(1, domains.length));
  return Math.min(bounds.maxPerDomain, Math.max(1, wanted));
}

/** Distributes on-demand servers one by one over the failure domains with room, the cheapest first in each round. */
function placeOnDemand(
  {bounds, domains}: FleetView,
  count: number,
  getRoom: (domain: DomainFleet) => number,
): ReadonlyMap<string, number> {
  const byPrice = [...domains].sort((a, b) => getPrice(bounds, a) - getPrice(bounds, b));
  const placed = new Map<string, number>();
  let missing = count;
  for (let round = 0; round < bounds.maxPerDomain && missing > 0; round += 1) {
    for (const domain of byPrice) {
      if (missing === 0 || round >= getRoom(domain)) continue;
      placed.set(domain.failureDomain, round + 1);
      missing -= 1;
    }
  }
  return placed;
}

/** Returns the on-demand servers that fit into a failure domain beside its reclaimable ones. */
function getOnDemandRoom(
  {maxPerDomain}: ReplicaBounds,
  {reclaimable, refusesReclaimable}: DomainFleet,
  wantedReclaimable: number,
  mayTakeRefused: boolean,
): number {
  return maxPerDomain - (mayTakeRefused && refusesReclaimable ? reclaimable : wantedReclaimable);
}

function getPrice(bounds: ReplicaBounds, {failureDomain}: DomainFleet): number {
  return bounds.domainPrices.get(failureDomain) ?? 1;
}
