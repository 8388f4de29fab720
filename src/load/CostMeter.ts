/** Measures the cost of the running backend servers during a load test. */
import type {Instance} from '../blackboard/index.js';

/** Price of an instance, by machine class, failure domain and market. */
export interface InstancePrice {
  readonly failureDomain: string;
  readonly machineClass: string;
  readonly market: 'reclaimable' | 'on-demand';
  readonly priceUsdPerHour: number;
}

/** Options of a `CostMeter`. */
export interface CostMeterOptions {
  /** Returns all listed instances; those that aren't backend servers are ignored. */
  readonly getInstances: () => Promise<readonly Instance[]>;
  readonly getPrices: () => Promise<readonly InstancePrice[]>;
  readonly getNowMs: () => number;
  /** Interval at which the instances and prices are read. */
  readonly intervalMs: number;
}

const MS_PER_HOUR = 3_600_000;

/**
 * Reads the instances and prices at intervals, and charges the time since the last successful read at the prices just
 * read. After a failed read, the next successful one charges the whole time.
 */
export class CostMeter {
  private readonly options: CostMeterOptions;
  private timer: NodeJS.Timeout | undefined;
  private accountedUntilMs = 0;
  private costUsd = 0;

  constructor(options: CostMeterOptions) {
    this.options = options;
  }

  /** Starts measuring. */
  start(): void {
    const {getNowMs, intervalMs} = this.options;
    this.accountedUntilMs = getNowMs();
    this.timer = setInterval(() => void this.addCost(), intervalMs);
  }

  /** Stops measuring and returns the cost in USD since the start. */
  async stop(): Promise<number> {
    clearInterval(this.timer);
    await this.addCost();
    return this.costUsd;
  }

  private async addCost(): Promise<void> {
    const {getInstances, getPrices, getNowMs} = this.options;
    const [instances, prices] = await Promise.all([getInstances(), getPrices()]).catch(
      () => [undefined, undefined] as const,
    );
    if (!instances || !prices) return;
    const nowMs = getNowMs();
    const hours = (nowMs - this.accountedUntilMs) / MS_PER_HOUR;
    this.accountedUntilMs = nowMs;
    this.costUsd += hours * sumPrices(instances, prices);
  }
}

/**
 * Returns the total price in USD per hour of the backend servers in a list; an instance without a price costs nothing.
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
