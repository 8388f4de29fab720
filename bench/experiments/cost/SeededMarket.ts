/** Seeded prices and reclaim waves of one day, identical for every fleet policy. */
import type {Market, Price} from '../../../src/controllers/capacity/index.js';
import {createSeededRandom} from '../../../src/utils/index.js';

/** A reclaim of all reclaimable instances of a failure domain and machine class; starts are refused for a while after. */
export interface ReclaimWave {
  readonly atMs: number;
  readonly failureDomain: string;
  readonly machineClass: string;
  /** Virtual time until which reclaimable starts in this pool are refused. */
  readonly refusedUntilMs: number;
}

/** Failure domains of the market. */
export const MARKET_DOMAINS = ['a', 'b', 'c', 'd'] as const;
/** Machine classes of the market; a server of either class sustains the same load. */
export const MACHINE_CLASSES = ['older', 'newer'] as const;
/** Length of the simulated day in milliseconds. */
export const DAY_MS = 86_400_000;

const ON_DEMAND_USD_PER_HOUR: Readonly<Record<string, number>> = {older: 2, newer: 2.4};
const PRICE_STEP_MS = 300_000;
const MIN_PRICE_FRACTION = 0.25;
const MAX_PRICE_FRACTION = 1.1;
const MAX_PRICE_STEP_FRACTION = 0.03;
const MS_PER_HOUR = 3_600_000;
const MIN_WAVES_PER_HOUR = 1 / 24;
const MAX_WAVES_PER_HOUR = 1 / 4;
const MEAN_REFUSAL_DURATION_MS = 900_000;

interface MarketPool {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly prices: readonly number[];
}

/** Draws the day's prices and reclaim waves from a seed. */
export class SeededMarket {
  private readonly pools: readonly MarketPool[];
  private readonly waves: readonly ReclaimWave[];

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

  /** Returns the day's reclaim waves in order of time. */
  getWaves(): readonly ReclaimWave[] {
    return this.waves;
  }

  /**
   * Returns the reclaimable and on-demand prices of every pool.
   * @param nowMs - Time of day in milliseconds.
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
   * Returns whether a start is refused because of a recent reclaim wave; on-demand starts never are.
   * @param nowMs - Time of day in milliseconds.
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

/** Failure domain, machine class and market in which an instance is started. */
export interface MarketPlace {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: Market;
}

/** Draws reclaimable prices as a random walk between 0.25 and 1.1 times the on-demand price. */
function drawPrices(machineClass: string, random: () => number): readonly number[] {
  let part = MIN_PRICE_FRACTION + random() * 0.3;
  return Array.from({length: Math.ceil(DAY_MS / PRICE_STEP_MS)}, () => {
    part += (random() - 0.5) * 2 * MAX_PRICE_STEP_FRACTION;
    part = Math.min(Math.max(part, MIN_PRICE_FRACTION), MAX_PRICE_FRACTION);
    return part * ON_DEMAND_USD_PER_HOUR[machineClass];
  });
}

/** Draws a pool's reclaim waves as a Poisson process with a random rate between one a day and one in four hours. */
function drawWaves(random: () => number) {
  const perHour = MIN_WAVES_PER_HOUR + random() * (MAX_WAVES_PER_HOUR - MIN_WAVES_PER_HOUR);
  const waves: Array<Pick<ReclaimWave, 'atMs' | 'refusedUntilMs'>> = [];
  for (let atMs = 0; ;) {
    atMs += drawExponential(MS_PER_HOUR / perHour, random);
    if (atMs >= DAY_MS) return waves;
    waves.push({atMs, refusedUntilMs: atMs + drawExponential(MEAN_REFUSAL_DURATION_MS, random)});
  }
}

function drawExponential(mean: number, random: () => number): number {
  return -Math.log(1 - random()) * mean;
}
