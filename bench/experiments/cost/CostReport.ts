/** Report of fleet costs at the latency target and of tokens recomputed by routing policies. */
import {
  createBarPlot,
  createLinePlot,
  SERIES_COLORS,
  type ExperimentReport,
  type ReportTable,
} from '../../../src/load/index.js';
import type {RoutingRecord, TargetRate} from '../serving/index.js';
import type {CostRecords} from './CostExperiment.js';
import type {FleetDay, FleetSpan} from './FleetModel.js';

const NOTES = [
  'Virtual time throughout. Latency target: 95 in 100 first tokens within 1.3 s, and 95 in 100 times between tokens within 52 ms.',
  'Rate at the target: the highest rate per engine, in steps of half a request a second, at which eight engines serve 40 s of the mix (nine chats to one long review, conversations of ten requests, a prefix cache of 65,536 tokens per engine) within the target, by the cost model of the stand-in engine. A single entry is simulated; load reports and cache events are read every half second, and one read in fifty is lost.',
  'Days: eight servers sustain the expected peak; load, prices and reclaim waves are seeded and the same for each fleet. A span of ten seconds meets the target if no ready server would get more than the rate at the target. Servers are paid for from their start; they are listed after 90 s and load their weights one after another in 60 s each.',
  'Left out of the days: queues from one span to the next, cold servers, tokens recomputed after a reclaim, loss of on-demand servers, refused on-demand starts, price limits, moves of versions. Servers of both machine classes have the same capacity.',
  'Recomputed: prompt tokens computed although an earlier request had sent them, and prompt and generated tokens computed again after a request moved to another engine. With reclaims, three failure domains of two engines each are reclaimed within two minutes with 2 s of notice; cold engines replace them after 60 s. Transfers of the KV cache are left out.',
];
const TOKENS_PER_MILLION = 1_000_000;
const REQUESTS_PER_THOUSAND = 1_000;
const FULL_PERCENT = 100;
const MS_PER_MINUTE = 60_000;
const MS_PER_HOUR = 3_600_000;
/** Number of spans between two points of a plot. */
const PLOT_STEP = 30;

/**
 * Returns the report.
 * @param command - Shell command that reproduces the figures.
 */
export function createCostReport(records: CostRecords, command: string): ExperimentReport {
  const {targetRates, days, routing} = records;
  const meanAnswerTokens = targetRates[0]?.meanAnswerTokens ?? 0;
  return {
    title: 'Cost at the latency target, and tokens recomputed',
    command,
    notes: NOTES,
    tables: [
      createFleetTable(days, meanAnswerTokens),
      createRateTable(targetRates),
      createRoutingTable(routing),
    ],
    plots: [
      {caption: 'USD per thousand requests at the target', svg: createCostPlot(days)},
      {caption: 'Recomputed tokens under reclaims', svg: createRoutingPlot(routing)},
      {caption: 'Ready servers over the first day', svg: createReadyPlot(days)},
    ],
  };
}

/** Totals of one fleet policy over all days. */
export interface FleetTotals {
  readonly policy: string;
  readonly days: number;
  readonly costUsd: number;
  readonly requests: number;
  readonly requestsAtTarget: number;
  /** Minutes of each day in which the fleet missed the latency target. */
  readonly missedMinutes: readonly number[];
  readonly reclaimedServers: number;
}

/** Returns the totals of each fleet policy, in the order of first appearance. */
export function sumFleets(days: readonly FleetDay[]): readonly FleetTotals[] {
  return [...new Set(days.map(({policy}) => policy))].map(policy => {
    const own = days.filter(day => day.policy === policy);
    const spans = own.flatMap(day => day.spans);
    const atTarget = spans.filter(({isAtTarget}) => isAtTarget);
    return {
      policy,
      days: own.length,
      costUsd: spans.reduce((sum, {costUsd}) => sum + costUsd, 0),
      requests: spans.reduce((sum, {requests}) => sum + requests, 0),
      requestsAtTarget: atTarget.reduce((sum, {requests}) => sum + requests, 0),
      missedMinutes: own.map(day => getMissedMinutes(day.spans)),
      reclaimedServers: own.reduce((sum, day) => sum + day.reclaimedServers, 0),
    };
  });
}

function getMissedMinutes(spans: readonly FleetSpan[]): number {
  const spanMs = (spans[1]?.atMs ?? 0) - (spans[0]?.atMs ?? 0);
  return (spans.filter(({isAtTarget}) => !isAtTarget).length * spanMs) / MS_PER_MINUTE;
}

function createFleetTable(days: readonly FleetDay[], meanAnswerTokens: number): ReportTable {
  const totals = sumFleets(days);
  const columns = [
    'fleet',
    'USD a day',
    'requests at the target, %',
    'minutes a day not at the target, mean / most',
    'USD per thousand requests at the target',
    'USD per million answer tokens at the target',
    'servers reclaimed a day',
  ];
  const rows = totals.map(one => [
    one.policy,
    (one.costUsd / one.days).toFixed(0),
    ((one.requestsAtTarget / one.requests) * FULL_PERCENT).toFixed(2),
    `${getMean(one.missedMinutes).toFixed(1)} / ${Math.max(...one.missedMinutes).toFixed(1)}`,
    getCostPerThousand(one).toFixed(4),
    ((one.costUsd / (one.requestsAtTarget * meanAnswerTokens)) * TOKENS_PER_MILLION).toFixed(2),
    (one.reclaimedServers / one.days).toFixed(1),
  ]);
  return {caption: `Fleets over ${totals[0]?.days ?? 0} days`, columns, rows};
}

function createRateTable(rates: readonly TargetRate[]): ReportTable {
  const columns = ['routing', 'requests a second for each engine at the target'];
  const rows = rates.map(one => [one.policy, String(one.requestsPerSecondPerEngine)]);
  return {caption: 'Rate at the latency target', columns, rows};
}

function createRoutingTable(records: readonly RoutingRecord[]): ReportTable {
  const columns = [
    'seed and reclaims',
    'routing',
    'requests',
    'without a whole answer',
    'moved',
    'recomputed tokens',
    'of prompt tokens, %',
    'first token p50 / p95 ms',
    'between tokens p95 ms',
  ];
  const rows = records.map(({policy, seed, hasReclaims, summary}) => [
    `${seed}, ${hasReclaims ? 'reclaims' : 'none'}`,
    policy,
    String(summary.requests),
    String(summary.requests - summary.completeResponses),
    String(summary.movedRequests),
    String(summary.recomputedTokens),
    ((summary.recomputedTokens / summary.promptTokens) * FULL_PERCENT).toFixed(1),
    `${summary.firstTokenP50Ms.toFixed(0)} / ${summary.firstTokenP95Ms.toFixed(0)}`,
    summary.interTokenP95Ms.toFixed(1),
  ]);
  return {caption: 'Routing at 20 requests a second on eight engines', columns, rows};
}

function createCostPlot(days: readonly FleetDay[]): string {
  const totals = sumFleets(days);
  const [color] = SERIES_COLORS;
  const values = totals.map(getCostPerThousand);
  return createBarPlot({
    categories: totals.map(({policy}) => policy),
    series: [{name: 'USD', color, values}],
  });
}

function createRoutingPlot(records: readonly RoutingRecord[]): string {
  const hit = records.filter(({hasReclaims}) => hasReclaims);
  const seeds = [...new Set(hit.map(({seed}) => seed))];
  const policies = [...new Set(hit.map(({policy}) => policy))];
  return createBarPlot({
    categories: seeds.map(seed => `seed ${seed}`),
    series: policies.map((name, index) => ({
      name,
      color: SERIES_COLORS[index],
      values: seeds.map(seed => {
        const found = hit.find(one => one.seed === seed && one.policy === name);
        return found?.summary.recomputedTokens ?? 0;
      }),
    })),
  });
}

function createReadyPlot(days: readonly FleetDay[]): string {
  const first = days.filter(({seed}) => seed === days[0]?.seed);
  const series = first.map(({policy, spans}, index) => ({
    name: policy,
    color: SERIES_COLORS[index % SERIES_COLORS.length],
    points: spans
      .filter((unused, span) => span % PLOT_STEP === 0)
      .map(({atMs, readyServers}) => ({x: atMs / MS_PER_HOUR, y: readyServers})),
  }));
  return createLinePlot({series, xLabel: 'h', yLabel: 'servers'});
}

function getCostPerThousand({costUsd, requestsAtTarget}: FleetTotals): number {
  return (costUsd / requestsAtTarget) * REQUESTS_PER_THOUSAND;
}

function getMean(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0) / values.length;
}
