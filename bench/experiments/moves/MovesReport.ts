/** Shows the runs of the experiment about moves. */
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
  'Virtual time; 40 requests a second, three entries, seven minutes from the request of a move to its deadline. Decisions are those of the move controller, its evidence and the entries’ brakes; the log, the list and the engines are left out.',
  'A failing version fails one request in five that meet its fault, a slow one takes 1.7 times the time, unless the row says otherwise. A fault that comes later comes two minutes after the start.',
  'Requests after the fault showed: those to the new version later than 10 s after the first that met the fault, until the deadline.',
  'A seed gives both policies the same requests until an entry brakes or one of the moves ends. Durations are log-normal and independent; real ones are not.',
  'The reclaim wave takes servers of the new version, which makes it slower; the model has no cost for a share above what the left servers bear.',
];
const MS_PER_SECOND = 1_000;
const WHOLE_PERCENT = 100;

/**
 * Returns the report of the runs.
 * @param records - The runs.
 * @param command - Command that gives them.
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
    tables: [{caption: 'Versions', columns: COLUMNS, rows: [...groups.values()].map(createRow)}],
    plots: [
      {caption: 'Requests that met the fault, median', svg: createFaultPlot(records)},
      ...createSharePlots(records),
    ],
  };
}

/**
 * Returns the name of a kind of version.
 * @param run - A run of it.
 */
export function getVersionName({
  kind,
  disturbance,
  faultErrorPart,
  slowdownFactor,
}: MoveRun): string {
  const parts = [kind.replaceAll('-', ' ')];
  if (disturbance !== 'none') parts.push(disturbance.replaceAll('-', ' '));
  if (faultErrorPart !== undefined) parts.push(`1 in ${Math.round(1 / faultErrorPart)}`);
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

function createRow(group: readonly MoveRecord[]): readonly string[] {
  const [{run, policy}] = group;
  const results = group.map(({result}) => result);
  const isBad = run.kind !== 'good';
  const takenBack = results.filter(({move}) => move.phase === 'taken-back').length;
  const inTime = results.filter(({move, steps}) => {
    const endedAtMs = steps.at(-1)?.decidedAtMs ?? Infinity;
    return move.phase === 'done' && endedAtMs <= move.deadlineAtMs;
  }).length;
  const faultPercents = results.map(
    ({faultyRequests, allRequests}) => (faultyRequests / allRequests) * WHOLE_PERCENT,
  );
  return [
    getVersionName(run),
    policy,
    String(group.length),
    String(takenBack),
    String(inTime),
    isBad ? describe(results.map(({faultyRequests}) => faultyRequests)) : '',
    isBad ? describe(faultPercents, 2) : '',
    isBad ? describe(results.map(({requestsAfterFault}) => requestsAfterFault)) : '',
    String(Math.max(...results.map(({largestSharePercent}) => largestSharePercent))),
  ];
}

function describe(values: readonly number[], decimals = 0): string {
  return `${getMedian(values).toFixed(decimals)} / ${Math.max(...values).toFixed(decimals)}`;
}

/** Returns the lower median, so that it is a value that was seen. */
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

/** One plot for each kind of version: the shares of its first seed. */
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
