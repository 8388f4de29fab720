/** Runs the same arrivals under each policy, one after another. */
import {planArrivals} from './ArrivalPlan.js';
import type {LoadMix} from './LoadMix.js';
import type {PolicyReport} from './LoadReport.js';
import {runLoad} from './LoadRun.js';
import type {LoadSettings} from './LoadSettings.js';
import {summarize, type LoadCost} from './LoadStatistics.js';
import {createRandom} from './random.js';
import {createPolicy, type PolicyName} from './RoutingPolicy.js';

const CENTS_PER_USD = 100;

/** Compares policies under one mix. */
export class PolicyComparison {
  private readonly settings: LoadSettings;
  private readonly mix: LoadMix;
  private readonly getNowMs: () => number;

  constructor(settings: LoadSettings, mix: LoadMix, getNowMs: () => number) {
    this.settings = settings;
    this.mix = mix;
    this.getNowMs = getNowMs;
  }

  /** Runs all policies. */
  async run(): Promise<readonly PolicyReport[]> {
    const reports: PolicyReport[] = [];
    for (const name of this.settings.policies) reports.push(await this.runPolicy(name));
    return reports;
  }

  private async runPolicy(name: PolicyName): Promise<PolicyReport> {
    const {settings, mix, getNowMs} = this;
    const {seed, timeoutMs, maxOpenRequests} = settings;
    const startedAtMs = getNowMs();
    const results = await runLoad({
      arrivals: planArrivals(mix, createRandom(seed)),
      policy: createPolicy(name, settings, createRandom(seed)),
      model: mix.model,
      salt: `${name}-${startedAtMs}`,
      timeoutMs,
      maxOpenRequests,
      getNowMs,
    });
    const cost = this.getCost(getNowMs() - startedAtMs);
    return {policy: name, results, summaries: summarize(results, cost)};
  }

  private getCost(durationMs: number): LoadCost | undefined {
    const {priceCentsPerHour, firstTokenTargetMs} = this.settings;
    if (priceCentsPerHour === 0) return undefined;
    return {priceUsdPerHour: priceCentsPerHour / CENTS_PER_USD, durationMs, firstTokenTargetMs};
  }
}
