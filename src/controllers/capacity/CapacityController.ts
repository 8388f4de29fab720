/**
 * Decides which backend servers to start and which to drain, so that the loss of any failure domain is survived at
 * least cost.
 */
import type {Instance} from '../../blackboard/index.js';
import type {Market, Offer} from './Offers.js';
import {getSpreadCost, spreadInstances, type DomainCount, type DomainCost} from './Spread.js';
import type {VersionNeed} from './VersionNeeds.js';

/** An instance that has been started but isn't in the platform's instance list yet. */
export interface PendingInstance {
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
}

/**
 * A missing backend server. Every lease holder derives the same vacancies, and with them the same client tokens, so
 * that the platform starts one instance for each even if the holder changes in between.
 */
export interface Vacancy {
  readonly service: string;
  readonly version: string;
  /**
   * Names the lost instance that is replaced, or the index of an additional instance under a configuration revision.
   */
  readonly slot: string;
  /** Incremented when the instance started for the vacancy never appeared in the platform's list. */
  readonly generation: number;
}

/** Input of `decideCapacity`. */
export interface CapacityView {
  readonly needs: readonly VersionNeed[];
  /** Instances from the platform's list, including stopped ones, which show what has to be replaced. */
  readonly instances: readonly Instance[];
  readonly pendingInstances: readonly PendingInstance[];
  /** Ids of instances that are being drained. */
  readonly drainingIds: readonly string[];
  /** Ids of listed instances that can't serve yet because their weights are still being loaded. */
  readonly loadingIds: readonly string[];
  /** Offers, cheapest first. */
  readonly offers: readonly Offer[];
  readonly availableDomains: readonly string[];
  /** Configuration revision that the needs are derived from; part of the slots of additional instances. */
  readonly revision: number;
  /** Slots for which an instance has been started or is listed already. */
  readonly filledSlots: readonly string[];
  /** Generation by slot; 0 for slots that are missing here. */
  readonly generations: ReadonlyMap<string, number>;
  /** Versions whose servers can be drained because a move has ended. */
  readonly retiredVersions: readonly RetiredVersion[];
}

/**
 * A version that receives no more requests since a move has ended: its old version if done, its new one if rolled back.
 */
export interface RetiredVersion {
  readonly service: string;
  readonly version: string;
}

/** An instance to start, or to drain before it is stopped. */
export type CapacityEffect =
  | {
      readonly kind: 'start-instance';
      readonly vacancy: Vacancy;
      readonly failureDomain: string;
      readonly machineClass: string;
      readonly market: Market;
    }
  | {readonly kind: 'drain-instance'; readonly instanceId: string; readonly service: string};

/** Result of `decideCapacity`. */
export interface CapacityDecision {
  /** Number of missing backend servers for which there is no offer. */
  readonly changes: {readonly missingReplicas: number};
  readonly effects: readonly CapacityEffect[];
}

/** The current spread is kept while it costs at most this many times as much as the cheapest one. */
const MAX_EXTRA_COST_FACTOR = 1.15;
/** Maximum number of backend servers of a version that are drained at the same time. */
const MAX_DRAINS = 2;

/**
 * Compares the servers of each version with the spread that it needs. Missing servers are started first; surplus ones
 * are drained only once nothing is missing or pending.
 */
export function decideCapacity(view: CapacityView): CapacityDecision {
  const decisions = view.needs.map(need => decideVersion(view, need));
  return {
    changes: {missingReplicas: decisions.reduce((sum, one) => sum + one.missingReplicas, 0)},
    effects: [...decisions.flatMap(one => one.effects), ...drainRetired(view)],
  };
}

/** Returns the client token of a vacancy, which makes its start idempotent at the platform. */
export function getClientToken({service, version, slot, generation}: Vacancy): string {
  return `${service}/${version}/${slot}/${generation}`;
}

interface VersionDecision {
  readonly missingReplicas: number;
  readonly effects: readonly CapacityEffect[];
}

function decideVersion(view: CapacityView, need: VersionNeed): VersionDecision {
  const wanted = getWantedSpread(view, need);
  const present = [...getServing(view, need), ...getPending(view, need)];
  const deficits = wanted.flatMap(({failureDomain, count}) => {
    const presentCount = present.filter(one => one.failureDomain === failureDomain).length;
    return new Array<string>(Math.max(count - presentCount, 0)).fill(failureDomain);
  });
  const starts = startInstances(view, need, deficits);
  const isComplete = deficits.length === 0 && getPending(view, need).length === 0;
  const drains = isComplete ? drainSurplus(view, need, wanted) : [];
  return {missingReplicas: deficits.length - starts.length, effects: [...starts, ...drains]};
}

function getWantedSpread(view: CapacityView, need: VersionNeed): readonly DomainCount[] {
  const domains = getDomainCosts(view);
  if (!need.needsSpare) return getSpreadWithoutSpare(view, need, domains);
  const cheapest = spreadInstances(need.replicas, domains);
  const present = getPresentSpread(view, need);
  return canKeepSpread(present, cheapest, need, domains) ? present : cheapest;
}

/** Without a spare the choice of failure domains doesn't matter, so existing instances stay where they are. */
function getSpreadWithoutSpare(
  view: CapacityView,
  need: VersionNeed,
  [cheapest]: readonly DomainCost[],
): readonly DomainCount[] {
  const present = getPresentSpread(view, need);
  if (countInstances(present) === need.replicas) return present;
  return cheapest ? [{failureDomain: cheapest.failureDomain, count: need.replicas}] : [];
}

function getPresentSpread(view: CapacityView, need: VersionNeed): readonly DomainCount[] {
  const present = [...getServing(view, need), ...getPending(view, need)];
  return view.availableDomains.map(failureDomain => ({
    failureDomain,
    count: present.filter(one => one.failureDomain === failureDomain).length,
  }));
}

/**
 * Hysteresis: returns whether the current spread is safe and cheap enough to be kept, so that small price changes move
 * nothing.
 */
function canKeepSpread(
  present: readonly DomainCount[],
  cheapest: readonly DomainCount[],
  {replicas}: VersionNeed,
  domains: readonly DomainCost[],
): boolean {
  const largest = Math.max(0, ...present.map(({count}) => count));
  const isSafe = domains.length < 2 || countInstances(present) - largest >= replicas;
  const maxCost = getSpreadCost(cheapest, domains) * MAX_EXTRA_COST_FACTOR;
  return (
    isSafe && countInstances(present) >= replicas && getSpreadCost(present, domains) <= maxCost
  );
}

function countInstances(spread: readonly DomainCount[]): number {
  return spread.reduce((sum, {count}) => sum + count, 0);
}

/** Returns the cost of the cheapest offer in each available failure domain. */
function getDomainCosts({offers, availableDomains}: CapacityView): readonly DomainCost[] {
  return availableDomains.flatMap(failureDomain => {
    const cheapest = offers.find(offer => offer.failureDomain === failureDomain);
    return cheapest ? [{failureDomain, costUsdPerHour: cheapest.costUsdPerHour}] : [];
  });
}

function startInstances(
  view: CapacityView,
  need: VersionNeed,
  deficits: readonly string[],
): readonly CapacityEffect[] {
  const slots = getSlots(view, need, deficits.length);
  return deficits.flatMap((failureDomain, index) => {
    const offer = view.offers.find(one => one.failureDomain === failureDomain);
    if (!offer) return [];
    const {service, version} = need;
    const slot = slots[index];
    const generation = view.generations.get(slot) ?? 0;
    const {machineClass, market} = offer;
    const vacancy = {service, version, slot, generation};
    return [{kind: 'start-instance', vacancy, failureDomain, machineClass, market}];
  });
}

/**
 * Returns slots for missing instances: first those of lost instances, in the order of their ids, then additional ones.
 * The result doesn't depend on the order of the instance list, so every lease holder gets the same slots.
 */
function getSlots(view: CapacityView, need: VersionNeed, count: number): readonly string[] {
  const lost = view.instances
    .filter(one => isOfVersion(one, need) && one.state !== 'live')
    .filter(one => !view.drainingIds.includes(one.instanceId))
    .map(({instanceId}) => `after-${instanceId}`)
    .sort();
  const added = Array.from(
    {length: count + view.filledSlots.length},
    (ignored, index) => `new-${need.service}-${need.version}-${view.revision}-${index}`,
  );
  return [...lost, ...added].filter(slot => !view.filledSlots.includes(slot)).slice(0, count);
}

function drainSurplus(
  view: CapacityView,
  need: VersionNeed,
  wanted: readonly DomainCount[],
): readonly CapacityEffect[] {
  const serving = getServing(view, need);
  const surplus = [...new Set(serving.map(one => one.failureDomain))].flatMap(failureDomain => {
    const inDomain = serving.filter(one => one.failureDomain === failureDomain);
    const count = wanted.find(one => one.failureDomain === failureDomain)?.count ?? 0;
    return [...inDomain].sort(byDrainOrder).slice(0, Math.max(inDomain.length - count, 0));
  });
  // Without any known offer the wanted spread is empty. Serving instances must not be drained for that.
  const keptCount = Math.max(need.replicas, countInstances(wanted));
  const ready = serving.filter(({instanceId}) => !view.loadingIds.includes(instanceId));
  return drain(view, surplus.slice(0, Math.max(ready.length - keptCount, 0)));
}

/** Drains servers of retired versions only; operators may run servers of other versions as a trial. */
function drainRetired(view: CapacityView): readonly CapacityEffect[] {
  const retired = view.retiredVersions.filter(
    ({service, version}) =>
      !view.needs.some(need => need.service === service && need.version === version),
  );
  const unneeded = view.instances
    .filter(one => isServing(view, one))
    .filter(one => retired.some(version => isOfVersion(one, version)));
  return drain(view, unneeded);
}

function drain(view: CapacityView, instances: readonly Instance[]): readonly CapacityEffect[] {
  const draining = view.instances.filter(
    one => one.state === 'live' && view.drainingIds.includes(one.instanceId),
  );
  const maxNewDrains = Math.max(MAX_DRAINS - draining.length, 0);
  return instances
    .slice(0, maxNewDrains)
    .map(({instanceId, service}) => ({kind: 'drain-instance', instanceId, service: service ?? ''}));
}

function getServing(view: CapacityView, need: VersionNeed): readonly Instance[] {
  return view.instances.filter(one => isServing(view, one) && isOfVersion(one, need));
}

function getPending(view: CapacityView, need: VersionNeed): readonly PendingInstance[] {
  return view.pendingInstances.filter(one => isOfVersion(one, need));
}

function isServing({drainingIds}: CapacityView, instance: Instance): boolean {
  const {role, state, instanceId} = instance;
  return role === 'backend' && state === 'live' && !drainingIds.includes(instanceId);
}

function isOfVersion(
  one: {readonly service?: string; readonly version?: string},
  need: RetiredVersion,
): boolean {
  return one.service === need.service && one.version === need.version;
}

/** Sorts on-demand instances first, as they cost more. */
function byDrainOrder(one: Instance, other: Instance): number {
  if (one.market !== other.market) return one.market === 'on-demand' ? -1 : 1;
  return other.instanceId.localeCompare(one.instanceId);
}
