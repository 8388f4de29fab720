/** Decides which backend servers to start and which to stop, so that any one failure domain may be lost at least cost. */
import type {Instance} from '../../blackboard/index.js';
import type {Market, Offer} from './Offers.js';
import {getSpreadCost, spreadInstances, type DomainCount, type DomainCost} from './Spread.js';
import type {VersionNeed} from './VersionNeeds.js';

/** An instance that was started and isn't listed yet. */
export interface PendingInstance {
  readonly instanceId: string;
  readonly service: string;
  readonly version: string;
  readonly failureDomain: string;
}

/** A backend server that is missing; all holders name it alike, so that they start one instance for it. */
export interface Vacancy {
  readonly service: string;
  readonly version: string;
  /** The instance that was lost, or the place among those that a configuration asks for anew. */
  readonly slot: string;
  /** Grows where the instance that was started for the vacancy never came. */
  readonly generation: number;
}

/** What the decision about capacity reads. */
export interface CapacityView {
  readonly needs: readonly VersionNeed[];
  /** Backend servers by the platform's list; those that are gone tell what was lost. */
  readonly instances: readonly Instance[];
  readonly pendingInstances: readonly PendingInstance[];
  /** Instances that are being drained. */
  readonly drainingIds: readonly string[];
  /** Instances that are listed and can't serve yet, since their weights are being loaded. */
  readonly unreadyIds: readonly string[];
  /** Offers, cheapest first. */
  readonly offers: readonly Offer[];
  readonly openDomains: readonly string[];
  /** Revision that the needs come from; part of the names of new vacancies. */
  readonly revision: number;
  /** Slots whose instance is known to have come. */
  readonly filledSlots: readonly string[];
  readonly generations: ReadonlyMap<string, number>;
  /** Versions that an ended move left without work. */
  readonly retiredVersions: readonly RetiredVersion[];
}

/** A version that an ended move left without work. */
export interface RetiredVersion {
  readonly service: string;
  readonly version: string;
}

/** A start or a graceful stop. */
export type CapacityEffect =
  | {
      readonly kind: 'start-instance';
      readonly vacancy: Vacancy;
      readonly failureDomain: string;
      readonly machineClass: string;
      readonly market: Market;
    }
  | {readonly kind: 'drain-instance'; readonly instanceId: string; readonly service: string};

/** What to do about capacity. */
export interface CapacityDecision {
  /** Backend servers that no offer could be found for. */
  readonly changes: {readonly missingReplicas: number};
  readonly effects: readonly CapacityEffect[];
}

/** A spread is kept while it costs no more than this times the cheapest one. */
const MAX_EXTRA_COST_FACTOR = 1.15;
/** At most this many backend servers of a version are drained at a time. */
const MAX_DRAINS = 2;

/** Decides for all versions of all services. */
export function decideCapacity(view: CapacityView): CapacityDecision {
  const decisions = view.needs.map(need => decideVersion(view, need));
  return {
    changes: {missingReplicas: decisions.reduce((sum, one) => sum + one.missingReplicas, 0)},
    effects: [...decisions.flatMap(one => one.effects), ...drainRetired(view)],
  };
}

/**
 * Returns the client token of a vacancy.
 * @param vacancy - The vacancy.
 */
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
    const there = present.filter(one => one.failureDomain === failureDomain).length;
    return new Array<string>(Math.max(count - there, 0)).fill(failureDomain);
  });
  const starts = startInstances(view, need, deficits);
  const isWhole = deficits.length === 0 && getPending(view, need).length === 0;
  const drains = isWhole ? drainSurplus(view, need, wanted) : [];
  return {missingReplicas: deficits.length - starts.length, effects: [...starts, ...drains]};
}

function getWantedSpread(view: CapacityView, need: VersionNeed): readonly DomainCount[] {
  const domains = getDomainCosts(view);
  if (!need.isSpared) return getUnsparedSpread(view, need, domains);
  const cheapest = spreadInstances(need.replicas, domains);
  const present = getPresentSpread(view, need);
  return isGoodEnough(present, cheapest, need, domains) ? present : cheapest;
}

/** Without a spare any failure domain will do, so what is there stays. */
function getUnsparedSpread(
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
  return view.openDomains.map(failureDomain => ({
    failureDomain,
    count: present.filter(one => one.failureDomain === failureDomain).length,
  }));
}

/** Hysteresis keeps instances from moving on every change of a price. */
function isGoodEnough(
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

/** Returns each open failure domain once, with its cheapest offer. */
function getDomainCosts({offers, openDomains}: CapacityView): readonly DomainCost[] {
  return openDomains.flatMap(failureDomain => {
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

/** Lost instances are replaced first, in the order of their ids; what is left are new places. */
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
    const there = serving.filter(one => one.failureDomain === failureDomain);
    const count = wanted.find(one => one.failureDomain === failureDomain)?.count ?? 0;
    return [...there].sort(byDrainOrder).slice(0, Math.max(there.length - count, 0));
  });
  // Where no offer is known, nothing is wanted anywhere; that is no reason to stop what serves.
  const keptCount = Math.max(need.replicas, countInstances(wanted));
  const ready = serving.filter(({instanceId}) => !view.unreadyIds.includes(instanceId));
  return drain(view, surplus.slice(0, Math.max(ready.length - keptCount, 0)));
}

/** Servers of other versions that nobody asked for are left alone; operators may try them out. */
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
  const free = Math.max(MAX_DRAINS - draining.length, 0);
  return instances
    .slice(0, free)
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

/** On-demand instances go first, as they cost more. */
function byDrainOrder(one: Instance, other: Instance): number {
  if (one.market !== other.market) return one.market === 'on-demand' ? -1 : 1;
  return other.instanceId.localeCompare(one.instanceId);
}
