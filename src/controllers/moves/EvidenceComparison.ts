/** Compares a new version with the old one under the same load, by tests that may be looked at any time. */
import type {DurationMoments, VersionEvidence} from '../../blackboard/index.js';

/** Evidence of two versions from the same time, under like load. */
export interface EvidenceStratum {
  readonly oldRequests: number;
  readonly oldErrors: number;
  readonly newRequests: number;
  readonly newErrors: number;
  readonly oldFirstToken: DurationMoments;
  readonly newFirstToken: DurationMoments;
  readonly oldInterToken: DurationMoments;
  readonly newInterToken: DurationMoments;
}

/** In what a new version is worse. */
export type Fault = 'errors' | 'first-token-time' | 'inter-token-time';

/** Evidence against the new version: the larger, the less it can be chance. */
export interface FaultEvidence {
  readonly fault: Fault;
  /** Value of a martingale that starts at 1 and is unlikely ever to reach N for a version that isn't worse: 1 in N. */
  readonly likelihoodRatio: number;
}

/** Ratio of durations that a new version may need without being called slow. */
const TOLERATED_SLOWDOWN = 1.2;
/** A version is judged on errors only after this many, as two may be chance of another cause. */
const MIN_ERRORS = 3;
const MIN_DURATIONS = 8;
/** Variance at which the mixture of alternatives is most sensitive. */
const ERROR_MIXTURE_VARIANCE = 0.25;
const DURATION_MIXTURE_VARIANCE = 4;
const NO_DURATIONS: DurationMoments = {count: 0, sumLogMs: 0, sumSquaredLogMs: 0};
/** Least variance of the logarithm of durations; regular stand-in engines would else make any difference certain. */
const MIN_LOG_VARIANCE = 0.01;

/**
 * Returns strata in which both versions have requests.
 * @param evidence - Windows of one route and class.
 * @param oldVersion - Version that is compared with.
 * @param newVersion - Version that is judged.
 * @param blockMs - Length of a block of time whose windows count as simultaneous.
 */
export function getStrata(
  evidence: readonly VersionEvidence[],
  oldVersion: string,
  newVersion: string,
  blockMs: number,
): readonly EvidenceStratum[] {
  const blocks = new Map<string, VersionEvidence[]>();
  for (const window of evidence) {
    const key = `${window.loadBand} ${window.prefillBand} ${Math.floor(window.windowStartMs / blockMs)}`;
    const block = blocks.get(key);
    if (block) block.push(window);
    else blocks.set(key, [window]);
  }
  return [...blocks.values()]
    .map(block => toStratum(block, oldVersion, newVersion))
    .filter(stratum => stratum.oldRequests > 0 && stratum.newRequests > 0);
}

/**
 * Returns the evidence for each fault.
 * @param strata - Strata of one route and class.
 */
export function compareVersions(strata: readonly EvidenceStratum[]): readonly FaultEvidence[] {
  const firstTokens = strata.map(({oldFirstToken, newFirstToken}) => ({
    oldOnes: oldFirstToken,
    newOnes: newFirstToken,
  }));
  const interTokens = strata.map(({oldInterToken, newInterToken}) => ({
    oldOnes: oldInterToken,
    newOnes: newInterToken,
  }));
  return [
    {fault: 'errors', likelihoodRatio: compareErrors(strata)},
    {fault: 'first-token-time', likelihoodRatio: compareDurations(firstTokens)},
    {fault: 'inter-token-time', likelihoodRatio: compareDurations(interTokens)},
  ];
}

/** Mantel-Haenszel score of the new version's errors, given each stratum's total. */
function compareErrors(strata: readonly EvidenceStratum[]): number {
  let score = 0;
  let variance = 0;
  let newErrors = 0;
  for (const stratum of strata) {
    const requests = stratum.oldRequests + stratum.newRequests;
    const errors = stratum.oldErrors + stratum.newErrors;
    const newPart = stratum.newRequests / requests;
    score += stratum.newErrors - errors * newPart;
    newErrors += stratum.newErrors;
    if (requests < 2) continue;
    variance += (errors * newPart * (1 - newPart) * (requests - errors)) / (requests - 1);
  }
  if (newErrors < MIN_ERRORS) return 1;
  return getMixtureRatio(score, variance, ERROR_MIXTURE_VARIANCE);
}

interface DurationPair {
  readonly oldOnes: DurationMoments;
  readonly newOnes: DurationMoments;
}

/** Difference of the mean logarithms beyond the tolerated one, weighted by the strata's information. */
function compareDurations(allPairs: readonly DurationPair[]): number {
  const pairs = allPairs.filter(({oldOnes, newOnes}) => oldOnes.count > 0 && newOnes.count > 0);
  const newCount = pairs.reduce((sum, {newOnes}) => sum + newOnes.count, 0);
  if (newCount < MIN_DURATIONS) return 1;
  const logVariance = getLogVariance(pairs);
  let score = 0;
  let information = 0;
  for (const {oldOnes, newOnes} of pairs) {
    const weight = (oldOnes.count * newOnes.count) / (oldOnes.count + newOnes.count);
    const difference = getMeanLog(newOnes) - getMeanLog(oldOnes) - Math.log(TOLERATED_SLOWDOWN);
    score += (weight * difference) / logVariance;
    information += weight / logVariance;
  }
  return getMixtureRatio(score, information, DURATION_MIXTURE_VARIANCE);
}

/** One-sided normal mixture: its value stays below N with a probability of at least 1 - 1/N, however often it is read. */
function getMixtureRatio(score: number, variance: number, mixtureVariance: number): number {
  if (score <= 0) return 1;
  const total = variance + mixtureVariance;
  return Math.sqrt(mixtureVariance / total) * Math.exp((score * score) / (2 * total));
}

function getMeanLog({sumLogMs, count}: DurationMoments): number {
  return sumLogMs / count;
}

/** Variance within strata and versions, pooled over all. */
function getLogVariance(pairs: readonly DurationPair[]): number {
  let squares = 0;
  let freedom = 0;
  for (const moments of pairs.flatMap(({oldOnes, newOnes}) => [oldOnes, newOnes])) {
    squares += moments.sumSquaredLogMs - moments.sumLogMs ** 2 / moments.count;
    freedom += moments.count - 1;
  }
  return Math.max(freedom > 0 ? squares / freedom : 1, MIN_LOG_VARIANCE);
}

function toStratum(
  block: readonly VersionEvidence[],
  oldVersion: string,
  newVersion: string,
): EvidenceStratum {
  const oldOnes = block.filter(window => window.version === oldVersion);
  const newOnes = block.filter(window => window.version === newVersion);
  return {
    oldRequests: sum(oldOnes, window => window.requests),
    oldErrors: sum(oldOnes, window => window.errors),
    newRequests: sum(newOnes, window => window.requests),
    newErrors: sum(newOnes, window => window.errors),
    oldFirstToken: sumMoments(oldOnes.map(window => window.firstToken)),
    newFirstToken: sumMoments(newOnes.map(window => window.firstToken)),
    oldInterToken: sumMoments(oldOnes.map(window => window.interToken)),
    newInterToken: sumMoments(newOnes.map(window => window.interToken)),
  };
}

function sum(
  windows: readonly VersionEvidence[],
  getValue: (window: VersionEvidence) => number,
): number {
  return windows.reduce((total, window) => total + getValue(window), 0);
}

function sumMoments(all: readonly DurationMoments[]): DurationMoments {
  return all.reduce(
    (total, moments) => ({
      count: total.count + moments.count,
      sumLogMs: total.sumLogMs + moments.sumLogMs,
      sumSquaredLogMs: total.sumSquaredLogMs + moments.sumSquaredLogMs,
    }),
    NO_DURATIONS,
  );
}
