/** Orders the ways to get an instance by what they cost, reclaims and refused starts included. */
import type {PriceLimit} from '../../configuration/index.js';

/** What the cloud sells. */
export type Market = 'reclaimable' | 'on-demand';

/** Price of an instance per hour. */
export interface Price {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  readonly priceUsdPerHour: number;
}

/** Reclaims seen in a failure domain and machine class. */
export interface ReclaimHistory {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly reclaims: number;
  readonly instanceHours: number;
}

/** A start that the cloud refused. */
export interface RefusedStart {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
  /** Refusals in a row. */
  readonly refusals: number;
  readonly lastAtMs: number;
}

/** A way to get an instance. */
export interface Offer extends Price {
  /** Price with the expected loss through reclaims. */
  readonly costUsdPerHour: number;
}

/** Input of `getOffers`. */
export interface OffersView {
  readonly prices: readonly Price[];
  readonly priceLimits: readonly PriceLimit[];
  readonly reclaims: readonly ReclaimHistory[];
  readonly refusedStarts: readonly RefusedStart[];
}

/** Paid time that a reclaim wastes: start, loading weights, warming up, and computing tokens again. */
const RECLAIM_LOSS_HOURS = 0.2;
/** What is assumed of a failure domain and machine class without a history. */
const PRIOR_RECLAIMS = 1;
const PRIOR_INSTANCE_HOURS = 24;
const FIRST_BACKOFF_MS = 15_000;
const MAX_BACKOFF_MS = 600_000;

/**
 * Returns the offers within the price limits that aren't backing off, cheapest first.
 * @param view - Prices and experience.
 * @param nowMs - Present time.
 */
export function getOffers(view: OffersView, nowMs: number): readonly Offer[] {
  return view.prices
    .filter(price => isWithinLimit(price, view.priceLimits))
    .filter(price => !isBackingOff(price, view.refusedStarts, nowMs))
    .map(price => ({...price, costUsdPerHour: getCost(price, view.reclaims)}))
    .sort((one, other) => one.costUsdPerHour - other.costUsdPerHour);
}

/** A machine class without a limit is used only where no limits are given at all. */
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
