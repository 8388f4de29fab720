/** Judges a new version route by route and class by class. */
import type {VersionEvidence} from '../../blackboard/index.js';
import {compareVersions, getStrata, type Fault} from './EvidenceComparison.js';

/** Two versions of a service to compare. */
export interface VersionPair {
  readonly service: string;
  readonly fromVersion: string;
  readonly toVersion: string;
}

/** A fault that a new version showed. */
export interface ShownFault {
  readonly fault: Fault;
  readonly route: string;
  readonly requestClass: string;
  readonly likelihoodRatio: number;
}

/** Chance, one in this many, that a good version is called bad on one route and class over a whole move. */
const TAKE_BACK_LIKELIHOOD_RATIO = 5_000;
/** An entry's own evidence is little and a brake is soon lifted, so it takes less certainty. */
const LOCAL_BRAKE_LIKELIHOOD_RATIO = 1_000;
/** Windows within this time count as simultaneous. */
const BLOCK_MS = 10_000;
/** An entry brakes on the evidence of this time. */
const LOCAL_BRAKE_MEMORY_MS = 60_000;

/**
 * Returns the fault that the evidence shows most clearly; undefined where it shows none.
 * @param evidence - Evidence of all entries.
 * @param pair - The versions.
 */
export function getShownFault(
  evidence: readonly VersionEvidence[],
  pair: VersionPair,
): ShownFault | undefined {
  return getClearestFault(evidence, pair, TAKE_BACK_LIKELIHOOD_RATIO);
}

/**
 * Decides whether an entry stops sending new work to a version at once, on its own evidence and without the log.
 * @param evidence - The entry's own evidence.
 * @param pair - The versions of a move that is under way.
 * @param nowMs - Present time.
 * @returns The fault to tell the peers of; undefined to go on sending.
 */
export function decideLocalBrake(
  evidence: readonly VersionEvidence[],
  pair: VersionPair,
  nowMs: number,
): ShownFault | undefined {
  const recent = evidence.filter(window => window.windowStartMs >= nowMs - LOCAL_BRAKE_MEMORY_MS);
  return getClearestFault(recent, pair, LOCAL_BRAKE_LIKELIHOOD_RATIO);
}

/**
 * Splits the evidence of a service by route and class.
 * @param evidence - Evidence.
 * @param service - The service.
 */
export function groupByRouteAndClass(
  evidence: readonly VersionEvidence[],
  service: string,
): ReadonlyMap<string, readonly VersionEvidence[]> {
  const groups = new Map<string, VersionEvidence[]>();
  for (const window of evidence) {
    if (window.service !== service) continue;
    const key = JSON.stringify([window.route, window.requestClass]);
    const group = groups.get(key);
    if (group) group.push(window);
    else groups.set(key, [window]);
  }
  return groups;
}

function getClearestFault(
  evidence: readonly VersionEvidence[],
  {service, fromVersion, toVersion}: VersionPair,
  minLikelihoodRatio: number,
): ShownFault | undefined {
  const groups = [...groupByRouteAndClass(evidence, service).values()];
  const shown = groups.flatMap(group => {
    const {route, requestClass} = group[0];
    const strata = getStrata(group, fromVersion, toVersion, BLOCK_MS);
    return compareVersions(strata)
      .filter(({likelihoodRatio}) => likelihoodRatio >= minLikelihoodRatio)
      .map(({fault, likelihoodRatio}) => ({fault, likelihoodRatio, route, requestClass}));
  });
  return shown.sort((one, other) => other.likelihoodRatio - one.likelihoodRatio)[0];
}
