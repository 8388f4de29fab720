/** Compares fleet policies by cost at the latency target over simulated days, and routing policies by recomputed tokens. */
import {
  compareRouting,
  findTargetRate,
  type RoutingRecord,
  type TargetRate,
} from '../serving/index.js';
import {FleetModel, type FleetDay} from './FleetModel.js';
import {createControlledFleet, createFixedFleet, type FleetPolicy} from './FleetPolicy.js';

/** Results of the experiment. */
export interface CostRecords {
  readonly routing: readonly RoutingRecord[];
  readonly targetRates: readonly TargetRate[];
  readonly days: readonly FleetDay[];
}

const DAYS = 5;
const ROUTING_SEEDS = 2;
/** Number of servers that the expected peak needs at the latency target. */
const PEAK_SERVERS = 8;
const FLEETS: readonly FleetPolicy[] = [
  createControlledFleet('capacity controller'),
  createControlledFleet('capacity controller, target set each hour', undefined, true),
  createControlledFleet('capacity controller, on-demand only', ['on-demand']),
  createFixedFleet('all on-demand, no spare', 'on-demand', false),
  createFixedFleet('fixed, reclaimable, no spare', 'reclaimable', false),
  createFixedFleet('fixed, reclaimable, with a spare', 'reclaimable', true),
];

/**
 * Runs all fleet policies over five days, and compares the routing policies on two seeds.
 * @param seed - First seed; further days use the following ones.
 */
export function runCostExperiment(seed: number): CostRecords {
  const prefix = findTargetRate('prefix', seed);
  const leastLoaded = findTargetRate('least-loaded', seed);
  const targetRates = [prefix, leastLoaded, findTargetRate('round-robin', seed)];
  const {requestsPerSecondPerEngine} = prefix;
  const seeds = Array.from({length: DAYS}, (unused, index) => seed + index);
  const days = seeds.flatMap(daySeed =>
    FLEETS.map(policy =>
      new FleetModel({
        seed: daySeed,
        policy,
        requestsPerSecondPerServer: requestsPerSecondPerEngine,
        peakRequestsPerSecond: PEAK_SERVERS * requestsPerSecondPerEngine,
      }).run(),
    ),
  );
  return {routing: compareRouting(seeds.slice(0, ROUTING_SEEDS)), targetRates, days};
}
