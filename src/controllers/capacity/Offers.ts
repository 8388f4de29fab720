/** Ranks the platform's instance offers by expected cost, and excludes those whose starts were refused recently. */
import type {PriceLimit} from '../../configuration/index.js';

/** Purchase option: a reclaimable instance is cheaper, but the platform may take it back at short notice. */
export type Market = 'reclaimable' | 'on-demand';

/** Price of an instance per hour. */
export interface Price {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly priceUsdPerHour: number;
}

/** Observed reclaims of instances in a failure domain and machine class. */
export interface ReclaimHistory {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaims: number;
  readonly instanceHours: number;
}

/** An offer for which the platform has refused to start an instance. */
export interface RefusedStart {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  /** Number of consecutive refusals. */
  readonly refusals: number;
  /** Time of the latest refusal. */
  readonly lastAtMs: number;
}

/** A price with the cost that is expected at it. */
export interface Offer extends Price {
  /** Price plus the expected loss through reclaims. */
  readonly costUsdPerHour: number;
}

/** Input of `getOffers`. */
export interface OffersView {
  readonly prices: readonly Price[];
  readonly priceLimits: readonly PriceLimit[];
  readonly reclaims: readonly ReclaimHistory[];
  readonly refusedStarts: readonly RefusedStart[];
}

/**
 * Paid instance time that a reclaim wastes on the start, weight loading, warm-up and recomputed tokens of the
 * replacement.
 */
const RECLAIM_LOSS_HOURS = 0.2;
/** Prior of the reclaim rate, which dominates while a failure domain and machine class has little history. */
const PRIOR_RECLAIMS = 1;
const PRIOR_INSTANCE_HOURS = 24;
/** Time for which an offer is excluded after a refused start; doubles with each consecutive refusal. */
const FIRST_BACKOFF_MS = 15_000;
const MAX_BACKOFF_MS = 600_000;

/**
 * Returns the offers within the price limits, sorted by expected cost. An offer whose start was refused is left out for
 * an exponentially growing backoff time.
 * @param view - Prices, limits, and observed reclaims and refusals.
 * @param nowMs - Current time by the clock of `RefusedStart.lastAtMs`.
 */
export function getOffers(view: OffersView, nowMs: number): readonly Offer[] {
  return view.prices
    .filter(price => isWithinLimit(price, view.priceLimits))
    .filter(price => !isBackingOff(price, view.refusedStarts, nowMs))
    .map(price => ({...price, costUsdPerHour: getCost(price, view.reclaims)}))
    .sort((one, other) => one.costUsdPerHour - other.costUsdPerHour);
}

/** A machine class without a limit is excluded, unless no limits are configured at all. */
function isWithinLimit(price: Price, limits: readonly PriceLimit[]): boolean {
  if (limits.length === 0) return true;
  return limits.some(
    ({machineClass, maxPriceUsdPerHour}) =>
      machineClass === price.machineClass && price.priceUsdPerHour <= maxPriceUsdPerHour,
  );
}

function isBackingOff(price: Price, refusedStarts: readonly RefusedStart[], nowMs: number) {
  const refused = refusedStarts.find(start => isSameOffer(start, price));
  if (!refused) return false;
  const backoffMs = FIRST_BACKOFF_MS * 2 ** (refused.refusals - 1);
  return nowMs < refused.lastAtMs + Math.min(backoffMs, MAX_BACKOFF_MS);
}

function isSameOffer(one: Omit<Price, 'priceUsdPerHour'>, other: Omit<Price, 'priceUsdPerHour'>) {
  return (
    one.failureDomain === other.failureDomain &&
    one.machineClass === other.machineClass &&
    one.market === other.market
  );
}

function getCost(price: Price, reclaims: readonly ReclaimHistory[]): number {
  if (price.market === 'on-demand') return price.priceUsdPerHour;
  const history = reclaims.find(
    one => one.failureDomain === price.failureDomain && one.machineClass === price.machineClass,
  );
  const reclaimsPerHour =
    ((history?.reclaims ?? 0) + PRIOR_RECLAIMS) /
    ((history?.instanceHours ?? 0) + PRIOR_INSTANCE_HOURS);
  return price.priceUsdPerHour * (1 + reclaimsPerHour * RECLAIM_LOSS_HOURS);
}
