/** How much of a quota a bucket holds, and which share of the requests is admitted at a level of it. */
import type {WorkspaceQuota} from '../../catalog/index.js';

/** By how much the admissions of a workspace in any window may exceed its quota. */
export interface QuotaTolerance {
  /** Fraction of the quota by which admissions in a window may exceed it; 0.1 for a tenth. */
  readonly toleratedShare: number;
  /** Tokens by which they may exceed it in addition. */
  readonly toleratedTokens: number;
  /** Length of the window. */
  readonly windowMs: number;
}

/** Amounts that follow from a quota, the tolerance and the reachable gateways, in the unit of the quota. */
export interface BucketLimits {
  readonly capacity: number;
  readonly ratePerMs: number;
  /** Amount by which the level may become negative. */
  readonly maxDebt: number;
  /** Decrease of a negative level by which the admitted share falls to 1/e. */
  readonly scale: number;
  /** Whether all gateways are reached. */
  readonly isWhole: boolean;
}

/** Level of a bucket after some time. */
export interface LevelProjection {
  readonly level: number;
  /** The time, with each moment weighted by the admitted share then. */
  readonly exposureMs: number;
}

const MS_PER_SECOND = 1_000;
/**
 * Fraction of `toleratedShare` that is used to refill buckets faster. The rest covers what gateways admit before they
 * receive each other's reports.
 */
const RATE_TOLERANCE_SHARE = 0.5;
/** Part of what a window allows beyond the refill that a bucket may hold if its quota's burst is smaller. */
const CAPACITY_PART = 0.45;
/**
 * Part of the same over which the admitted share falls to 1/e. With a smaller one, the gateways admit and refuse in
 * turns, because they see the effect only after the delay of the reports.
 */
const SCALE_PART = 0.17;
/** Most of the permitted debt that `scale` takes: at five times the quota the level stays above the permitted debt. */
const MAX_SCALE_PART_OF_DEBT = 0.4;

/**
 * Returns the limits of a bucket. Capacity and debt together are what the tolerated amount in a window exceeds the
 * refill by, so that no window gets more however the level moves.
 * @param share - Fraction of the known gateways that are reached.
 */
export function getBucketLimits(
  {ratePerSecond, burst, unit}: WorkspaceQuota,
  share: number,
  {toleratedShare, toleratedTokens, windowMs}: QuotaTolerance,
): BucketLimits {
  const refillShare = RATE_TOLERANCE_SHARE * toleratedShare;
  const inWindow = (ratePerSecond * windowMs) / MS_PER_SECOND;
  const beyondRefill =
    inWindow * (toleratedShare - refillShare) +
    burst * (1 + toleratedShare) +
    (unit === 'tokens' ? toleratedTokens : 0);
  const fullBurst = burst * (1 + toleratedShare);
  const capacity = Math.min(fullBurst, Math.max(burst, beyondRefill * CAPACITY_PART));
  const maxDebt = beyondRefill - capacity;
  const scale = Math.min(beyondRefill * SCALE_PART, maxDebt * MAX_SCALE_PART_OF_DEBT);
  return {
    capacity: capacity * share,
    ratePerMs: (ratePerSecond * (1 + refillShare) * share) / MS_PER_SECOND,
    maxDebt: maxDebt * share,
    scale: scale * share,
    isWhole: share === 1,
  };
}

/**
 * Returns the share of the requests to admit, whatever their cost. It falls exponentially with a negative level: the
 * level settles where the admitted part of the demand is the refill, and returns to it at the same speed at any demand.
 */
export function getAdmittedShare(level: number, {scale}: BucketLimits): number {
  return level >= 0 || scale === 0 ? 1 : Math.exp(level / scale);
}

/**
 * Projects a level to a later moment, if gateways with this level admit the share of a demand that it allows.
 * @param demand - Requested amount per millisecond.
 * @param elapsedMs - Time to project.
 */
export function projectLevel(
  level: number,
  demand: number,
  elapsedMs: number,
  limits: BucketLimits,
): LevelProjection {
  const {capacity, ratePerMs, scale} = limits;
  if (level < 0 && scale > 0) return projectDebt(level, demand, elapsedMs, limits);
  const change = ratePerMs - demand;
  const untilDebtMs = change < 0 && scale > 0 ? Math.max(0, level) / -change : Infinity;
  if (elapsedMs <= untilDebtMs) {
    return {level: Math.min(capacity, level + change * elapsedMs), exposureMs: elapsedMs};
  }
  const rest = projectDebt(0, demand, elapsedMs - untilDebtMs, limits);
  return {level: rest.level, exposureMs: untilDebtMs + rest.exposureMs};
}

/**
 * Solves the differential equation of a negative level: its change is the refill less the demand times e^(level/scale).
 * The inverse of the admitted share approaches demand / refill exponentially.
 */
function projectDebt(
  level: number,
  demand: number,
  elapsedMs: number,
  limits: BucketLimits,
): LevelProjection {
  const {ratePerMs, scale} = limits;
  if (ratePerMs <= 0 || elapsedMs <= 0) return {level, exposureMs: 0};
  const target = demand / ratePerMs;
  const inverse = Math.exp(-level / scale);
  const timeConstantMs = scale / ratePerMs;
  const untilPositiveMs =
    target < 1 ? timeConstantMs * Math.log((inverse - target) / (1 - target)) : Infinity;
  const debtMs = Math.min(elapsedMs, untilPositiveMs);
  const endInverse = target + (inverse - target) * Math.exp(-debtMs / timeConstantMs);
  const endLevel = Math.min(0, -scale * Math.log(Math.max(1, endInverse)));
  // The change of the level is the refill less what the exposure admitted.
  const exposureMs =
    demand > 0
      ? (ratePerMs * debtMs - (endLevel - level)) / demand
      : timeConstantMs * (Math.exp(endLevel / scale) - Math.exp(level / scale));
  const debt = {level: endLevel, exposureMs: Math.min(debtMs, Math.max(0, exposureMs))};
  if (debtMs >= elapsedMs) return debt;
  const rest = projectLevel(0, demand, elapsedMs - debtMs, limits);
  return {level: rest.level, exposureMs: debt.exposureMs + rest.exposureMs};
}
