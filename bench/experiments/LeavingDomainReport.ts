/** Report of requests that were late, refused or failed while a failure domain was reclaimed and replaced. */
import type {
  LoadSecondSummary,
  ReportedLoad,
  ReportOptions,
  ReportTable,
} from '../../src/load/index.js';

/** Times of the experiment, in milliseconds from the start of the load. */
export interface LeavingDomainTimes {
  readonly leavesAtMs: number;
  /** Time between the reclaim notice and the end of the engines. */
  readonly noticeMs: number;
  readonly returnsAtMs: number;
}

const COLUMNS = [
  'load',
  'seconds',
  'sent',
  'late',
  'refused',
  'failed',
  'most late / refused / failed in a second',
] as const;
const NOTES = [
  'Real processes over 127.0.0.1 in real time: other load on the machine affects the figures. The platform announces the reclaim of a failure domain’s two engines; later two cold engines replace them.',
  'A request counts in the second in which it was sent. Late: a complete response whose first token took more than 1.3 s. Refused: a well-formed refusal that sent no token. Failed: everything else.',
];
const MS_PER_SECOND = 1_000;

/**
 * Returns the report: plots of the loads, a table by phase, and marks for the reclaim notice and the replacement.
 * @param loads - Results with and without spare engines.
 * @param command - Shell command that reproduces the figures.
 */
export function createLeavingDomainReport(
  loads: readonly ReportedLoad[],
  times: LeavingDomainTimes,
  command: string,
): ReportOptions {
  const leaves = times.leavesAtMs / MS_PER_SECOND;
  const returns = times.returnsAtMs / MS_PER_SECOND;
  return {
    title: 'A failure domain leaves and returns',
    command,
    loads,
    notes: NOTES,
    tables: [createPhaseTable(loads, times)],
    marks: [
      {x: leaves, label: 'notice'},
      {x: returns, label: 'cold servers come'},
    ],
  };
}

function createPhaseTable(
  loads: readonly ReportedLoad[],
  {leavesAtMs, noticeMs, returnsAtMs}: LeavingDomainTimes,
): ReportTable {
  const starts = [0, leavesAtMs, leavesAtMs + noticeMs, returnsAtMs].map(ms => ms / MS_PER_SECOND);
  const names = ['before', 'notice', 'away', 'cold servers'];
  const rows = loads.flatMap(({name, seconds}) =>
    names.map((phase, index) => {
      const [from, to] = [starts[index], starts[index + 1] ?? Infinity];
      const own = seconds.filter(({second}) => second >= from && second < to);
      return createPhaseRow(name, `${phase}, from ${from}`, own);
    }),
  );
  return {caption: 'Late, refused and failed by phase', columns: COLUMNS, rows};
}

function createPhaseRow(
  name: string,
  phase: string,
  seconds: readonly LoadSecondSummary[],
): readonly string[] {
  const sum = (getCount: (second: LoadSecondSummary) => number) =>
    String(seconds.reduce((total, second) => total + getCount(second), 0));
  const most = (getCount: (second: LoadSecondSummary) => number) =>
    Math.max(0, ...seconds.map(getCount));
  return [
    name,
    phase,
    sum(({answered, refused, failed}) => answered + refused + failed),
    sum(({late}) => late),
    sum(({refused}) => refused),
    sum(({failed}) => failed),
    `${most(({late}) => late)} / ${most(({refused}) => refused)} / ${most(({failed}) => failed)}`,
  ];
}
