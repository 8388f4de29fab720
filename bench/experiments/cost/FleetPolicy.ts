/** Policies under comparison for choosing a fleet's instances. */
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

/** Input of a fleet policy. */
export interface FleetView {
  /** Servers in the platform's list. */
  readonly instances: readonly Instance[];
  /** Servers that were started and are not yet listed. */
  readonly pendingInstances: readonly PendingInstance[];
  readonly drainingIds: readonly string[];
  /** Ids of servers that do not serve yet: they boot or load their weights. */
  readonly loadingIds: readonly string[];
  readonly market: OffersView;
  /** Number of servers that the load needs. */
  readonly targetReplicas: number;
}

/** Instances to start and ids of instances to drain. */
export interface FleetActions {
  readonly starts: readonly MarketPlace[];
  readonly drains: readonly string[];
}

/** A policy that decides starts and drains. */
export interface FleetPolicy {
  readonly name: string;
  readonly decide: (view: FleetView, nowMs: number) => FleetActions;
  /** Whether the target replica count is adapted to the expected load each hour; otherwise it stays at the peak's. */
  readonly followsLoad: boolean;
}

const MARKETS: readonly Market[] = ['reclaimable', 'on-demand'];

/**
 * Creates a fleet policy that uses the production capacity controller.
 * @param name - Display name in the report.
 * @param markets - Markets whose offers it may use.
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
    decide: (
      {instances, pendingInstances, drainingIds, loadingIds, market, targetReplicas},
      nowMs,
    ) => {
      const prices = market.prices.filter(price => markets.includes(price.market));
      const need = {service: 'guidance', version: 'v1', replicas: targetReplicas, needsSpare: true};
      const {effects} = decideCapacity({
        needs: [need],
        instances,
        pendingInstances,
        drainingIds,
        loadingIds,
        offers: getOffers({...market, prices}, nowMs),
        availableDomains: MARKET_DOMAINS,
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
 * Creates a fleet of fixed size, spread evenly over the failure domains, in the machine class that is cheapest on demand. Lost
 * servers are started again in the same failure domain.
 * @param name - Display name in the report.
 * @param market - Only market that it uses.
 * @param needsSpare - Whether enough servers run to reach the target after the loss of one failure domain.
 */
export function createFixedFleet(name: string, market: Market, needsSpare: boolean): FleetPolicy {
  const [machineClass] = MACHINE_CLASSES;
  return {
    name,
    followsLoad: false,
    decide: ({instances, pendingInstances, targetReplicas}) => {
      const present = [...instances.filter(({state}) => state === 'live'), ...pendingInstances];
      const places = getEvenSpread(targetReplicas, needsSpare);
      const starts = places.flatMap(({failureDomain, count}) => {
        const there = present.filter(one => one.failureDomain === failureDomain);
        const missing = Math.max(count - there.length, 0);
        return new Array<MarketPlace>(missing).fill({failureDomain, machineClass, market});
      });
      return {starts, drains: []};
    },
  };
}

function getEvenSpread(targetReplicas: number, needsSpare: boolean) {
  const domains = MARKET_DOMAINS.map(failureDomain => ({failureDomain, costUsdPerHour: 1}));
  if (needsSpare) return spreadInstances(targetReplicas, domains);
  return domains.map(({failureDomain}, index) => ({
    failureDomain,
    count: Math.floor((targetReplicas + domains.length - 1 - index) / domains.length),
  }));
}
