/** Detects faults of a new version by comparing it with the old one, separately for each route and request class. */
import type {VersionEvidence} from '../../blackboard/index.js';
import {compareVersions, getStrata, type Fault} from './EvidenceComparison.js';

/** Two versions of a service to compare. */
export interface VersionPair {
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
}

/** A fault for which the evidence is significant. */
export interface DetectedFault {
  readonly fault: Fault;
  readonly route: string;
  readonly requestClass: string;
  readonly likelihoodRatio: number;
}

/**
 * Likelihood ratio that rolls a version back. A good version reaches it with a probability of at most one in this many,
 * for each route, request class and look-back time.
 */
const ROLLBACK_LIKELIHOOD_RATIO = 100_000;
/**
 * Likelihood ratio that trips an entry's circuit breaker. It is lower, since an entry has only its own evidence, and
 * since a tripped circuit breaker resets soon.
 */
const CIRCUIT_BREAKER_LIKELIHOOD_RATIO = 10_000;
/** Length of a time block, whose windows count as simultaneous. */
const BLOCK_MS = 10_000;
/** Look-back times that are tested: a short one detects a late fault early, a long one detects a small fault. */
const ROLLBACK_LOOKBACKS_MS = [30_000, 120_000, Infinity];
const CIRCUIT_BREAKER_LOOKBACKS_MS = [20_000, 60_000];

/**
 * Returns the fault with the strongest evidence that is significant enough for a rollback; undefined if there is none.
 * @param evidence - Evidence of all entries.
 * @param pair - Old and new version of the service.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function findRollbackFault(
  evidence: readonly VersionEvidence[],
  pair: VersionPair,
  nowMs: number,
): DetectedFault | undefined {
  const faults = getFaults(evidence, pair, ROLLBACK_LOOKBACKS_MS, nowMs);
  return faults.find(({likelihoodRatio}) => likelihoodRatio >= ROLLBACK_LIKELIHOOD_RATIO);
}

/**
 * Decides whether an entry trips its circuit breaker for a new version, that is stops sending it new requests at once.
 * It uses the entry's own evidence only, so that it works while the log is unavailable.
 * @param evidence - The entry's own evidence.
 * @param pair - Old and new version of a move in progress.
 * @param nowMs - Current wall clock time in milliseconds.
 * @returns The fault that trips the circuit breaker; undefined to continue sending.
 */
export function findCircuitBreakerFault(
  evidence: readonly VersionEvidence[],
  pair: VersionPair,
  nowMs: number,
): DetectedFault | undefined {
  const faults = getFaults(evidence, pair, CIRCUIT_BREAKER_LOOKBACKS_MS, nowMs);
  return faults.find(({likelihoodRatio}) => likelihoodRatio >= CIRCUIT_BREAKER_LIKELIHOOD_RATIO);
}

/** Returns the key by which `groupByRouteAndClass` groups the evidence of a route and request class. */
export function getGroupKey({
  route,
  requestClass,
}: Pick<VersionEvidence, 'route' | 'requestClass'>): string {
  return `${requestClass} ${route}`;
}

/** Returns the evidence of one service, grouped by route and request class. */
export function groupByRouteAndClass(
  evidence: readonly VersionEvidence[],
  service: string,
): ReadonlyMap<string, readonly VersionEvidence[]> {
  const groups = new Map<string, VersionEvidence[]>();
  for (const window of evidence) {
    if (window.service !== service) continue;
    const key = getGroupKey(window);
    const group = groups.get(key);
    if (group) group.push(window);
    else groups.set(key, [window]);
  }
  return groups;
}

/** Returns the strength of evidence for each fault, route, request class and look-back time, strongest first. */
function getFaults(
  evidence: readonly VersionEvidence[],
  pair: VersionPair,
  lookbacksMs: readonly number[],
  nowMs: number,
): readonly DetectedFault[] {
  const groups = [...groupByRouteAndClass(evidence, pair.service).values()];
  const faults = groups.flatMap(group =>
    lookbacksMs.flatMap(lookbackMs => {
      const recent = group.filter(({windowStartMs}) => windowStartMs >= nowMs - lookbackMs);
      return compareGroup(recent, pair);
    }),
  );
  return faults.sort((one, other) => other.likelihoodRatio - one.likelihoodRatio);
}

function compareGroup(
  group: readonly VersionEvidence[],
  {fromVersion, toVersion}: VersionPair,
): readonly DetectedFault[] {
  const [first] = group;
  if (!first) return [];
  const {route, requestClass} = first;
  if (!group.some(({version}) => version === toVersion)) return [];
  const strata = getStrata(group, fromVersion, toVersion, BLOCK_MS);
  return compareVersions(strata).map(evidence => ({...evidence, route, requestClass}));
}
