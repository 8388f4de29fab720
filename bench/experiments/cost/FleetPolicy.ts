/** Ways to decide which instances a fleet has. */
import type {Instance} from '../../../src/blackboard/index.js';
import {
  decideCapacity,
  getOffers,
  spreadInstances,
  type Market,
  type OffersView,
  type PendingInstance,
} from '../../../src/controllers/capacity/index.js';
import {MACHINE_CLASSES, MARKET_DOMAINS, type MarketPlace} from './SeededMarket.js';

/** What a fleet's decision reads. */
export interface FleetView {
  /** Servers by the platform's list. */
  readonly instances: readonly Instance[];
  /** Servers that were started and aren't listed yet. */
  readonly pendingInstances: readonly PendingInstance[];
  readonly drainingIds: readonly string[];
  readonly market: OffersView;
  /** Servers that carry the load. */
  readonly targetReplicas: number;
}

/** What a fleet does next. */
export interface FleetActions {
  readonly starts: readonly MarketPlace[];
  readonly drains: readonly string[];
}

/** A way to decide. */
export interface FleetPolicy {
  readonly name: string;
  readonly decide: (view: FleetView, nowMs: number) => FleetActions;
  /** Whether the target follows the expected load hour by hour; else it is that of the peak. */
  readonly followsLoad: boolean;
}

const MARKETS: readonly Market[] = ['reclaimable', 'on-demand'];

/**
 * Creates a fleet of the capacity controller.
 * @param name - Name of the fleet.
 * @param markets - Markets whose offers it may take.
 * @param followsLoad - Whether operators publish a new target each hour.
 */
export function createControlledFleet(
  name: string,
  markets: readonly Market[] = MARKETS,
  followsLoad = false,
): FleetPolicy {
  return {
    name,
    followsLoad,
    decide: ({instances, pendingInstances, drainingIds, market, targetReplicas}, nowMs) => {
      const prices = market.prices.filter(price => markets.includes(price.market));
      const need = {service: 'guidance', version: 'v1', replicas: targetReplicas, isSpared: true};
      const {effects} = decideCapacity({
        needs: [need],
        instances,
        pendingInstances,
        drainingIds,
        offers: getOffers({...market, prices}, nowMs),
        openDomains: MARKET_DOMAINS,
        revision: 1,
        filledSlots: [],
        generations: new Map(),
        retiredVersions: [],
      });
      return {
        starts: effects.flatMap(effect => (effect.kind === 'start-instance' ? [effect] : [])),
        drains: effects.flatMap(effect =>
          effect.kind === 'drain-instance' ? [effect.instanceId] : [],
        ),
      };
    },
  };
}

/**
 * Creates a fleet whose places are fixed: evenly over the failure domains, in the cheapest machine class on demand. What is lost is
 * started again in its place.
 * @param name - Name of the fleet.
 * @param market - Its only market.
 * @param isSpared - Whether the loss of one failure domain leaves the target.
 */
export function createFixedFleet(name: string, market: Market, isSpared: boolean): FleetPolicy {
  const [machineClass] = MACHINE_CLASSES;
  return {
    name,
    followsLoad: false,
    decide: ({instances, pendingInstances, targetReplicas}) => {
      const present = [...instances.filter(({state}) => state === 'live'), ...pendingInstances];
      const places = getEvenSpread(targetReplicas, isSpared);
      const starts = places.flatMap(({failureDomain, count}) => {
        const there = present.filter(one => one.failureDomain === failureDomain);
        const missing = Math.max(count - there.length, 0);
        return new Array<MarketPlace>(missing).fill({failureDomain, machineClass, market});
      });
      return {starts, drains: []};
    },
  };
}

function getEvenSpread(targetReplicas: number, isSpared: boolean) {
  const domains = MARKET_DOMAINS.map(failureDomain => ({failureDomain, costUsdPerHour: 1}));
  if (isSpared) return spreadInstances(targetReplicas, domains);
  return domains.map(({failureDomain}, index) => ({
    failureDomain,
    count: Math.floor((targetReplicas + domains.length - 1 - index) / domains.length),
  }));
}
