/** Prints the results of placement simulations: by load alone, and by speed. Usage: node run-simulation.js [SEED] [REQUESTS_PER_SECOND] */
import {PlacementSimulation, type SimulationOptions} from './index.js';

const PERCENT = 100;
const seed = Number(process.argv[2] ?? 1);
const requestsPerSecond = Number(process.argv[3] ?? 170);
const base = {
  seed,
  gateways: 70,
  engines: 53,
  requestsPerSecond,
  warmUpMs: 60_000,
  measuredMs: 60_000,
} as const;

function toPercent(share: number): string {
  return (share * PERCENT).toFixed(1);
}

function report(name: string, options: SimulationOptions): void {
  const result = new PlacementSimulation(options).run();
  const kinds = [...result.shareByKind].map(([kind, share]) => `${kind} ${toPercent(share)}`);
  console.log(
    `${name}: in time ${toPercent(result.shareInTime)} % (${kinds.join(', ')}), by size tenth ` +
      `${result.shareBySizeTenth.map(toPercent).join(' ')}; p50 ${result.getFirstEventMs(50)} p99 ` +
      `${result.getFirstEventMs(99)} ms, busiest/mean ${result.busiestOverMean.toFixed(2)}, shared ` +
      `tokens prefilled ${Math.round(result.sharedTokensPerRequest)} per request`,
  );
}

for (const chunkOrder of ['first-come', 'shared'] as const) {
  for (const hasSharedPrefixes of [true, false]) {
    const common = {...base, chunkOrder, hasSharedPrefixes};
    const label = `${chunkOrder}, ${hasSharedPrefixes ? 'shared prefixes' : 'no shared prefixes'}`;
    report(`${label}, by load`, {...common, rule: 'load'});
    report(`${label}, by speed`, {...common, rule: 'speed'});
    report(`${label}, by speed, reports shared`, {
      ...common,
      rule: 'speed',
      areReportsShared: true,
    });
  }
}
