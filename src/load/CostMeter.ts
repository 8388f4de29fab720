/** Adds up what the listed backend servers cost while a load runs. */
import type {Instance} from '../blackboard/index.js';

/** Price of one instance of a class in a failure domain. */
export interface InstancePrice {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: 'reclaimable' | 'on-demand';
  readonly priceUsdPerHour: number;
}

/** Options of a `CostMeter`. */
export interface CostMeterOptions {
  readonly getInstances: () => Promise<readonly Instance[]>;
  readonly getPrices: () => Promise<readonly InstancePrice[]>;
  readonly getNowMs: () => number;
  readonly intervalMs: number;
}

const MS_PER_HOUR = 3_600_000;

/** Reads list and prices at intervals. */
export class CostMeter {
  private readonly options: CostMeterOptions;
  private timer: NodeJS.Timeout | undefined;
  private countedToMs = 0;
  private costUsd = 0;

  constructor(options: CostMeterOptions) {
    this.options = options;
  }

  /** Starts to count. */
  start(): void {
    const {getNowMs, intervalMs} = this.options;
    this.countedToMs = getNowMs();
    this.timer = setInterval(() => void this.count(), intervalMs);
  }

  /** Counts up to now and stops; returns the cost since the start. */
  async stop(): Promise<number> {
    clearInterval(this.timer);
    await this.count();
    return this.costUsd;
  }

  private async count(): Promise<void> {
    const {getInstances, getPrices, getNowMs} = this.options;
    const [instances, prices] = await Promise.all([getInstances(), getPrices()]).catch(
      () => [undefined, undefined] as const,
    );
    if (!instances || !prices) return;
    const nowMs = getNowMs();
    const hours = (nowMs - this.countedToMs) / MS_PER_HOUR;
    this.countedToMs = nowMs;
    this.costUsd += hours * sumPrices(instances, prices);
  }
}

/**
 * Returns what the backend servers of a list cost an hour; an instance without a price costs nothing.
 * @param instances - The list.
 * @param prices - Prices by class, failure domain and market.
 */
export function sumPrices(
  instances: readonly Instance[],
  prices: readonly InstancePrice[],
): number {
  const running = instances.filter(({role, state}) => role === 'backend' && state !== 'gone');
  return running.reduce((sum, {failureDomain, machineClass, market}) => {
    const price = prices.find(
      candidate =>
        candidate.failureDomain === failureDomain &&
        candidate.machineClass === machineClass &&
        candidate.market === market,
    );
    return sum + (price?.priceUsdPerHour ?? 0);
  }, 0);
}
