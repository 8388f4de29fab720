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

/** Chance, one in this many, that a good version is called bad on one route and class by one series of windows. */
const TAKE_BACK_LIKELIHOOD_RATIO = 100_000;
/** An entry's own evidence is little and a brake is soon lifted, so it takes less certainty. */
const LOCAL_BRAKE_LIKELIHOOD_RATIO = 10_000;
/** Windows within this time count as simultaneous. */
const BLOCK_MS = 10_000;
/** Series of windows that are looked at: short ones show a late fault soon, long ones a small one. */
const TAKE_BACK_MEMORIES_MS = [30_000, 120_000, Infinity];
const LOCAL_BRAKE_MEMORIES_MS = [20_000, 60_000];

/**
 * Returns the fault that the evidence shows most clearly; undefined where it shows none.
 * @param evidence - Evidence of all entries.
 * @param pair - The versions.
 * @param nowMs - Present time.
 */
export function getShownFault(
  evidence: readonly VersionEvidence[],
  pair: VersionPair,
  nowMs: number,
): ShownFault | undefined {
  const faults = getFaults(evidence, pair, TAKE_BACK_MEMORIES_MS, nowMs);
  return faults.find(({likelihoodRatio}) => likelihoodRatio >= TAKE_BACK_LIKELIHOOD_RATIO);
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
  const faults = getFaults(evidence, pair, LOCAL_BRAKE_MEMORIES_MS, nowMs);
  return faults.find(({likelihoodRatio}) => likelihoodRatio >= LOCAL_BRAKE_LIKELIHOOD_RATIO);
}

/**
 * Returns the key under which evidence of a route and class is grouped.
 * @param subject - Route and class.
 */
export function getGroupKey({
  route,
  requestClass,
}: Pick<VersionEvidence, 'route' | 'requestClass'>): string {
  return `${requestClass} ${route}`;
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
    const key = getGroupKey(window);
    const group = groups.get(key);
    if (group) group.push(window);
    else groups.set(key, [window]);
  }
  return groups;
}

/** Returns the evidence for each fault, route, class and memory, clearest first. */
function getFaults(
  evidence: readonly VersionEvidence[],
  pair: VersionPair,
  memoriesMs: readonly number[],
  nowMs: number,
): readonly ShownFault[] {
  const groups = [...groupByRouteAndClass(evidence, pair.service).values()];
  const faults = groups.flatMap(group =>
    memoriesMs.flatMap(memoryMs => {
      const recent = group.filter(({windowStartMs}) => windowStartMs >= nowMs - memoryMs);
      return compareGroup(recent, pair);
    }),
  );
  return faults.sort((one, other) => other.likelihoodRatio - one.likelihoodRatio);
}

function compareGroup(
  group: readonly VersionEvidence[],
  {fromVersion, toVersion}: VersionPair,
): readonly ShownFault[] {
  const [first] = group;
  if (!first) return [];
  const {route, requestClass} = first;
  if (!group.some(({version}) => version === toVersion)) return [];
  const strata = getStrata(group, fromVersion, toVersion, BLOCK_MS);
  return compareVersions(strata).map(evidence => ({...evidence, route, requestClass}));
}
