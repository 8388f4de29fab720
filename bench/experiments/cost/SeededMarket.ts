/** A day of prices and reclaims from a seed, the same for every fleet. */
import type {Market, Price} from '../../../src/controllers/capacity/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';

/** A reclaim of all reclaimable instances of a failure domain and machine class; starts are refused for a while after. */
export interface ReclaimWave {
  readonly atMs: number;
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly refusedUntilMs: number;
}

/** Failure domains and machine classes of the market; a server of either class carries the same load. */
export const MARKET_DOMAINS = ['a', 'b', 'c', 'd'] as const;
export const MACHINE_CLASSES = ['older', 'newer'] as const;
/** Length of the day. */
export const DAY_MS = 86_400_000;

const ON_DEMAND_USD_PER_HOUR: Readonly<Record<string, number>> = {older: 2, newer: 2.4};
const PRICE_STEP_MS = 300_000;
const LEAST_PRICE_PART = 0.25;
const MOST_PRICE_PART = 1.1;
const PRICE_STEP_PART = 0.03;
const MS_PER_HOUR = 3_600_000;
const LEAST_WAVES_PER_HOUR = 1 / 24;
const MOST_WAVES_PER_HOUR = 1 / 4;
const MEAN_REFUSED_MS = 900_000;

interface MarketPool {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly prices: readonly number[];
}

/** Prices and reclaim waves. */
export class SeededMarket {
  private readonly pools: readonly MarketPool[];
  private readonly waves: readonly ReclaimWave[];

  /** @param seed - The seed. */
  constructor(seed: number) {
    const random = createSeededRandom(seed);
    const keys = MARKET_DOMAINS.flatMap(failureDomain =>
      MACHINE_CLASSES.map(machineClass => ({failureDomain, machineClass})),
    );
    this.pools = keys.map(key => ({...key, prices: drawPrices(key.machineClass, random)}));
    this.waves = keys
      .flatMap(key => drawWaves(random).map(wave => ({...key, ...wave})))
      .sort((one, other) => one.atMs - other.atMs);
  }

  /** Returns the day's waves, first ones first. */
  getWaves(): readonly ReclaimWave[] {
    return this.waves;
  }

  /**
   * Returns the prices of an instant.
   * @param nowMs - The instant.
   */
  getPrices(nowMs: number): readonly Price[] {
    const step = Math.floor(nowMs / PRICE_STEP_MS);
    return this.pools.flatMap(({failureDomain, machineClass, prices}): readonly Price[] => {
      const place = {failureDomain, machineClass};
      const onDemandUsd = ON_DEMAND_USD_PER_HOUR[machineClass];
      return [
        {...place, market: 'reclaimable', priceUsdPerHour: prices[step] ?? onDemandUsd},
        {...place, market: 'on-demand', priceUsdPerHour: onDemandUsd},
      ];
    });
  }

  /**
   * Returns whether a start is refused.
   * @param offer - What is asked for.
   * @param nowMs - Present time.
   */
  isRefused(offer: MarketPlace, nowMs: number): boolean {
    if (offer.market === 'on-demand') return false;
    return this.waves.some(
      wave =>
        wave.failureDomain === offer.failureDomain &&
        wave.machineClass === offer.machineClass &&
        wave.atMs <= nowMs &&
        nowMs < wave.refusedUntilMs,
    );
  }
}

/** A way to get an instance. */
export interface MarketPlace {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
}

/** A bounded random walk in parts of the on-demand price. */
function drawPrices(machineClass: string, random: () => number): readonly number[] {
  let part = LEAST_PRICE_PART + random() * 0.3;
  return Array.from({length: Math.ceil(DAY_MS / PRICE_STEP_MS)}, () => {
    part += (random() - 0.5) * 2 * PRICE_STEP_PART;
    part = Math.min(Math.max(part, LEAST_PRICE_PART), MOST_PRICE_PART);
    return part * ON_DEMAND_USD_PER_HOUR[machineClass];
  });
}

/** Waves of a pool come at random at a rate of its own. */
function drawWaves(random: () => number) {
  const perHour = LEAST_WAVES_PER_HOUR + random() * (MOST_WAVES_PER_HOUR - LEAST_WAVES_PER_HOUR);
  const waves: Array<Pick<ReclaimWave, 'atMs' | 'refusedUntilMs'>> = [];
  for (let atMs = 0; ;) {
    atMs += drawExponential(MS_PER_HOUR / perHour, random);
    if (atMs >= DAY_MS) return waves;
    waves.push({atMs, refusedUntilMs: atMs + drawExponential(MEAN_REFUSED_MS, random)});
  }
}

function drawExponential(mean: number, random: () => number): number {
  return -Math.log(1 - random()) * mean;
}
