/**
 * Compares the error rate and the response times of a new version with those of the old one under the same load. The
 * tests are sequential: they stay valid however often their result is read.
 */
import type {DurationMoments, VersionEvidence} from '../../blackboard/index.js';
import {addMoments, NO_DURATIONS} from './DurationMoments.js';

/** Measurements of two versions from the same time block under similar load, so that they can be compared. */
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

/** Property in which a new version can be worse than the old one. */
export type Fault = 'errors' | 'first-token-time' | 'inter-token-time';

/** Strength of the evidence that the new version is worse in one property. */
export interface FaultEvidence {
  readonly fault: Fault;
  /**
   * Test martingale that starts at 1; for a version that isn't worse, the probability that it ever reaches N is at most
   * 1/N.
   */
  readonly likelihoodRatio: number;
}

/** Ratio of new to old durations up to which a new version doesn't count as slower. */
const TOLERATED_SLOWDOWN = 1.2;
/** Errors that a new version must have before its error rate is compared; two may be chance and have another cause. */
const MIN_ERRORS = 3;
/** Durations that must have been measured at a new version before they are compared. */
const MIN_DURATIONS = 8;
/** Variance of the score at which the mixture over alternatives is most sensitive. */
const ERROR_MIXTURE_VARIANCE = 0.25;
const DURATION_MIXTURE_VARIANCE = 4;
/**
 * Minimum variance of log durations. Stand-in engines are so regular that any difference would otherwise be
 * significant.
 */
const MIN_LOG_VARIANCE = 0.01;

/**
 * Groups windows into strata of equal load band, prefill band and time block; only strata in which both versions have
 * requests are returned.
 * @param evidence - Windows of one route and request class.
 * @param oldVersion - Version to compare with.
 * @param newVersion - Version under test.
 * @param blockMs - Length of a time block, whose windows count as simultaneous.
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
 * Tests the new version for each kind of fault.
 * @param strata - Strata of one route and request class, from `getStrata`.
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

/**
 * Likelihood ratio from the Mantel-Haenszel score of the new version's errors, given the total errors of each stratum.
 */
function compareErrors(strata: readonly EvidenceStratum[]): number {
  let score = 0;
  let variance = 0;
  let newErrors = 0;
  for (const stratum of strata) {
    const requests = stratum.oldRequests + stratum.newRequests;
    const errors = stratum.oldErrors + stratum.newErrors;
    const newFraction = stratum.newRequests / requests;
    score += stratum.newErrors - errors * newFraction;
    newErrors += stratum.newErrors;
    if (requests < 2) continue;
    variance += (errors * newFraction * (1 - newFraction) * (requests - errors)) / (requests - 1);
  }
  if (newErrors < MIN_ERRORS) return 1;
  return getMixtureLikelihoodRatio(score, variance, ERROR_MIXTURE_VARIANCE);
}

interface DurationPair {
  readonly oldOnes: DurationMoments;
  readonly newOnes: DurationMoments;
}

/**
 * Likelihood ratio from the slowdown beyond the tolerated one: differences of mean log durations, weighted by
 * information.
 */
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
  return getMixtureLikelihoodRatio(score, information, DURATION_MIXTURE_VARIANCE);
}

/**
 * One-sided normal mixture; without a fault it stays below N with probability of at least 1 - 1/N, however often it is
 * read.
 */
function getMixtureLikelihoodRatio(
  score: number,
  variance: number,
  mixtureVariance: number,
): number {
  if (score <= 0) return 1;
  const total = variance + mixtureVariance;
  return Math.sqrt(mixtureVariance / total) * Math.exp((score * score) / (2 * total));
}

function getMeanLog({sumLogMs, count}: DurationMoments): number {
  return sumLogMs / count;
}

/** Pooled variance of log durations within strata and versions. */
function getLogVariance(pairs: readonly DurationPair[]): number {
  let sumOfSquares = 0;
  let degreesOfFreedom = 0;
  for (const moments of pairs.flatMap(({oldOnes, newOnes}) => [oldOnes, newOnes])) {
    sumOfSquares += moments.sumSquaredLogMs - moments.sumLogMs ** 2 / moments.count;
    degreesOfFreedom += moments.count - 1;
  }
  return Math.max(degreesOfFreedom > 0 ? sumOfSquares / degreesOfFreedom : 1, MIN_LOG_VARIANCE);
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

function sumMoments(summands: readonly DurationMoments[]): DurationMoments {
  return summands.reduce(addMoments, NO_DURATIONS);
}
