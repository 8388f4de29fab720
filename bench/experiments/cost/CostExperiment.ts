/** What fleets cost at the latency target over seeded days, and what routing policies recompute. */
import {
  compareRouting,
  findTargetRate,
  type RoutingRecord,
  type TargetRate,
} from '../serving/index.js';
import {FleetModel, type FleetDay} from './FleetModel.js';
import {createControlledFleet, createFixedFleet, type FleetPolicy} from './FleetPolicy.js';

/** What the experiment found. */
export interface CostRecords {
  readonly routing: readonly RoutingRecord[];
  readonly targetRates: readonly TargetRate[];
  readonly days: readonly FleetDay[];
}

const DAYS = 5;
const ROUTING_SEEDS = 2;
/** Servers that the peak takes. */
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
 * Runs the fleets and the routing policies.
 * @param seed - First of the seeds.
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
      }).getResult(),
    ),
  );
  return {routing: compareRouting(seeds.slice(0, ROUTING_SEEDS)), targetRates, days};
}
