/** Report of the comparison of move policies: a table by kind of version, and plots of faults and traffic shares. */
import {
  createBarPlot,
  createLinePlot,
  SERIES_COLORS,
  type ExperimentReport,
  type PlotPoint,
} from '../../../src/load/index.js';
import type {MoveRecord} from './MovesExperiment.js';
import {getDeadlineAtMs, MOVE_STARTS_AT_MS, type MoveRun} from './MoveRun.js';

const COLUMNS = [
  'version',
  'policy',
  'versions',
  'taken back',
  'moved in time',
  'requests that met the fault, median / most',
  'share of all requests, median / most %',
  'requests after the fault showed, median / most',
  'largest share %',
] as const;
const NOTES = [
  'Virtual time; 40 requests a second, three entries, seven minutes from the request of a move to its deadline. Decisions are made by the production move controller, from its evidence, and by the entries’ circuit breakers; the log, the instance list and the engines are not simulated.',
  'A failing version fails one in five of the requests that meet its fault, and a slow one takes 1.7 times as long, unless the row gives another value. A fault that comes “later” starts two minutes after the request of the move.',
  'Requests after the fault showed: requests to the new version more than 10 s after the first one that met the fault, until the deadline.',
  'A seed gives both policies the same requests until a circuit breaker trips or one of the moves ends. Durations are log-normal and independent; real ones are not.',
  'The reclaim wave takes servers of the new version, which makes it slower; the model does not penalise a traffic share above the capacity of the remaining servers.',
];
const MS_PER_SECOND = 1_000;
const FULL_PERCENT = 100;

/**
 * Returns the report.
 * @param records - Runs; those of the same kind and policy share a table row.
 * @param command - Shell command that reproduces the runs.
 */
export function createMovesReport(
  records: readonly MoveRecord[],
  command: string,
): ExperimentReport {
  const groups = groupRecords(records);
  return {
    title: 'Version moves by evidence and by a linear ramp',
    command,
    notes: NOTES,
    tables: [
      {caption: 'Versions', columns: COLUMNS, rows: [...groups.values()].map(createVersionRow)},
    ],
    plots: [
      {caption: 'Requests that met the fault, median', svg: createFaultPlot(records)},
      ...createSharePlots(records),
    ],
  };
}

/** Returns the display name of a kind of version with its disturbance and parameters. */
export function getVersionName({
  kind,
  disturbance,
  faultErrorProbability,
  slowdownFactor,
}: MoveRun): string {
  const parts = [kind.replaceAll('-', ' ')];
  if (disturbance !== 'none') parts.push(disturbance.replaceAll('-', ' '));
  if (faultErrorProbability !== undefined)
    parts.push(`1 in ${Math.round(1 / faultErrorProbability)}`);
  if (slowdownFactor !== undefined) parts.push(`${slowdownFactor} times`);
  return parts.join(', ');
}

function groupRecords(records: readonly MoveRecord[]): ReadonlyMap<string, readonly MoveRecord[]> {
  const groups = new Map<string, MoveRecord[]>();
  for (const record of records) {
    const key = `${getVersionName(record.run)}\n${record.policy}`;
    groups.set(key, [...(groups.get(key) ?? []), record]);
  }
  return groups;
}

function createVersionRow(group: readonly MoveRecord[]): readonly string[] {
  const [{run, policy}] = group;
  const results = group.map(({result}) => result);
  const isBad = run.kind !== 'good';
  const takenBack = results.filter(({move}) => move.phase === 'taken-back').length;
  const inTime = results.filter(({move, steps}) => {
    const endedAtMs = steps.at(-1)?.decidedAtMs ?? Infinity;
    return move.phase === 'done' && endedAtMs <= move.deadlineAtMs;
  }).length;
  const faultPercents = results.map(
    ({faultyRequests, allRequests}) => (faultyRequests / allRequests) * FULL_PERCENT,
  );
  return [
    getVersionName(run),
    policy,
    String(group.length),
    String(takenBack),
    String(inTime),
    isBad ? formatMedianAndMax(results.map(({faultyRequests}) => faultyRequests)) : '',
    isBad ? formatMedianAndMax(faultPercents, 2) : '',
    isBad ? formatMedianAndMax(results.map(({requestsAfterFault}) => requestsAfterFault)) : '',
    String(Math.max(...results.map(({largestSharePercent}) => largestSharePercent))),
  ];
}

function formatMedianAndMax(values: readonly number[], decimals = 0): string {
  return `${getMedian(values).toFixed(decimals)} / ${Math.max(...values).toFixed(decimals)}`;
}

/** Returns the lower median, which is always one of the values. */
function getMedian(values: readonly number[]): number {
  const sorted = [...values].sort((a, b) => a - b);
  return sorted[Math.floor((sorted.length - 1) / 2)] ?? NaN;
}

function getPolicies(records: readonly MoveRecord[]): readonly string[] {
  return [...new Set(records.map(({policy}) => policy))];
}

function createFaultPlot(records: readonly MoveRecord[]): string {
  const bad = records.filter(({run}) => run.kind !== 'good');
  const categories = [...new Set(bad.map(({run}) => getVersionName(run)))];
  const series = getPolicies(records).map((policy, index) => ({
    name: policy,
    color: SERIES_COLORS[index],
    values: categories.map(name => {
      const group = bad.filter(one => one.policy === policy && getVersionName(one.run) === name);
      return getMedian(group.map(({result}) => result.faultyRequests));
    }),
  }));
  return createBarPlot({categories, series});
}

/** Creates a plot per kind of version with the traffic shares over time of its first seed. */
function createSharePlots(records: readonly MoveRecord[]) {
  const names = [...new Set(records.map(({run}) => getVersionName(run)))];
  return names.map(name => {
    const series = getPolicies(records).map((policy, index) => {
      const first = records.find(one => one.policy === policy && getVersionName(one.run) === name);
      return {
        name: policy,
        color: SERIES_COLORS[index],
        points: first ? getSharePoints(first) : [],
      };
    });
    const seed = records.find(({run}) => getVersionName(run) === name)?.run.seed;
    const svg = createLinePlot({series, xLabel: 's since the request of the move', yLabel: '%'});
    return {caption: `Share of the new version: ${name}, seed ${seed}`, svg};
  });
}

function getSharePoints({run, result}: MoveRecord): readonly PlotPoint[] {
  const points: PlotPoint[] = [{x: 0, y: 0}];
  for (const {decidedAtMs, sharePercent} of result.steps) {
    const x = (decidedAtMs - MOVE_STARTS_AT_MS) / MS_PER_SECOND;
    points.push({x, y: points[points.length - 1].y}, {x, y: sharePercent});
  }
  const endX = (getDeadlineAtMs(run) - MOVE_STARTS_AT_MS) / MS_PER_SECOND;
  return [...points, {x: endX, y: points[points.length - 1].y}];
}
