/** Decides how many backend servers of a service are ordered in each failure domain, and of which kind. */
import type {ReplicaBounds} from '../../catalog/index.js';

/** Backend servers of one kind in one failure domain. */
export interface DomainFleet {
  readonly failureDomain: string;
  /** On-demand servers that take requests. */
  readonly onDemand: number;
  /** Reclaimable servers that take requests. */
  readonly reclaimable: number;
}

/** What the decision depends on. */
export interface FleetView {
  readonly bounds: ReplicaBounds;
  readonly domains: readonly DomainFleet[];
  /** Servers that the load needs. */
  readonly neededServers: number;
}

/** Servers to order in one failure domain. */
export interface DomainOrder {
  readonly failureDomain: string;
  readonly onDemand: number;
  readonly reclaimable: number;
}

/** Reclaimable servers beyond what is needed, as a share; a reclaim takes a whole failure domain's. */
const SPARE_SHARE = 0.5;
/** On-demand servers that are ordered at a reclaim beyond what is missing, since reclaims come one after the other. */
const RECLAIM_RESERVE_SERVERS = 2;

/**
 * Returns what to order in each failure domain.
 *
 * Reclaimable servers are spread over all failure domains, with one domain's worth to spare. Where fewer take requests
 * than the load needs, on-demand servers fill the gap in the cheapest domains and are given back when the others return.
 * @param view - The fleet and its load.
 */
export function decideFleetSize(view: FleetView): readonly DomainOrder[] {
  const {bounds, domains, neededServers} = view;
  const reclaimablePerDomain = getReclaimablePerDomain(view);
  const reclaimable = domains.reduce((sum, domain) => sum + domain.reclaimable, 0);
  const reserve = isBeingReclaimed(domains) ? RECLAIM_RESERVE_SERVERS : 0;
  let missing = Math.max(0, neededServers + reserve - reclaimable);
  const byPrice = [...domains].sort((a, b) => getPrice(bounds, a) - getPrice(bounds, b));
  const onDemand = new Map<string, number>();
  for (let round = 0; round < bounds.maxPerDomain && missing > 0; round += 1) {
    for (const {failureDomain} of byPrice) {
      const count = onDemand.get(failureDomain) ?? 0;
      if (missing === 0 || count + reclaimablePerDomain >= bounds.maxPerDomain) continue;
      onDemand.set(failureDomain, count + 1);
      missing -= 1;
    }
  }
  return domains.map(({failureDomain}) => {
    const ordered = onDemand.get(failureDomain) ?? 0;
    const least = Math.max(0, bounds.minPerDomain - reclaimablePerDomain);
    return {
      failureDomain,
      onDemand: Math.max(least, ordered),
      reclaimable: reclaimablePerDomain,
    };
  });
}

/** Some failure domains have lost all their reclaimable servers, others haven't. */
function isBeingReclaimed(domains: readonly DomainFleet[]): boolean {
  const lost = domains.filter(({reclaimable}) => reclaimable === 0);
  return lost.length > 0 && lost.length < domains.length;
}

function getReclaimablePerDomain({bounds, domains, neededServers}: FleetView): number {
  if (bounds.reclaimablePriceShare === undefined) return 0;
  const wanted = Math.ceil((neededServers * (1 + SPARE_SHARE)) / Math.max(1, domains.length));
  return Math.min(bounds.maxPerDomain, Math.max(1, wanted));
}

function getPrice(bounds: ReplicaBounds, {failureDomain}: DomainFleet): number {
  return bounds.domainPrices.get(failureDomain) ?? 1;
}
