/** Compares load tests in a report: as Markdown tables, or as an HTML page with plots. */
import type {LoadSecondSummary, LoadSummary} from './LoadResult.js';
import {
  createReportMarkdown,
  createReportPage,
  type ExperimentReport,
  type ReportTable,
} from './ReportPage.js';
import {createLinePlot, type PlotMark} from './SvgPlot.js';

/** Results of a load test for a report. */
export interface ReportedLoad {
  /** Distinguishes the load test from the others of the report, such as by its routing policy. */
  readonly name: string;
  readonly summaries: readonly LoadSummary[];
  /** Results of each second, for the plot. */
  readonly seconds: readonly LoadSecondSummary[];
  /** Cost of the backend servers while it ran; absent if no prices were read. */
  readonly costUsd?: number;
}

/** Contents of a report. */
export interface ReportOptions {
  readonly title: string;
  /** Command that reproduces the figures. */
  readonly command: string;
  readonly loads: readonly ReportedLoad[];
  /** Explanations of the figures; shown in the HTML page only. */
  readonly notes?: readonly string[];
  /** Further tables, shown after that of the load tests. */
  readonly tables?: readonly ReportTable[];
  /** Events to mark in the plots, with the second at which each occurred as `x`. */
  readonly marks?: readonly PlotMark[];
}

const TOKENS_PER_MILLION = 1_000_000;
const REQUESTS_PER_THOUSAND = 1_000;
const COLUMNS = [
  'load',
  'workspace',
  'class',
  'sent',
  'answered',
  'refused',
  'failed',
  'kinds of errors',
  'first token p50/p95/p99 ms',
  'between tokens p50/p95 ms',
  'answer tokens',
  'recomputed tokens',
  'USD per million answer tokens',
  'USD per thousand requests',
] as const;

const SERIES = [
  {name: 'answered', color: '#2b7a3d', getCount: (second: LoadSecondSummary) => second.answered},
  {name: 'late', color: '#d49b00', getCount: (second: LoadSecondSummary) => second.late},
  {name: 'refused', color: '#6b6bd6', getCount: (second: LoadSecondSummary) => second.refused},
  {name: 'failed', color: '#c0392b', getCount: (second: LoadSecondSummary) => second.failed},
] as const;

/** Returns the tables of a report as Markdown. */
export function createMarkdownReport(options: ReportOptions): string {
  return createReportMarkdown(createReport(options));
}

/** Returns a report as a self-contained HTML page. */
export function createHtmlReport(options: ReportOptions): string {
  return createReportPage(createReport(options));
}

function createReport(options: ReportOptions): ExperimentReport {
  const {title, command, loads, notes = [], tables = [], marks = []} = options;
  const rows = loads.flatMap(load => load.summaries.map(summary => createRow(load, summary)));
  return {
    title,
    command,
    notes,
    tables: [{caption: 'Loads', columns: COLUMNS, rows}, ...tables],
    plots: loads.map(({name, seconds}) => {
      const caption = `Requests second by second: ${name}`;
      return {caption, svg: createTimelinePlot(seconds, marks)};
    }),
  };
}

function createRow({name, costUsd}: ReportedLoad, summary: LoadSummary): readonly string[] {
  const {firstToken, interToken, answerTokens, answered} = summary;
  const isAll = summary.workspace === 'all';
  const getCost = (count: number, unit: number) =>
    isAll && costUsd !== undefined && count > 0 ? ((costUsd / count) * unit).toFixed(2) : '';
  return [
    name,
    summary.workspace,
    summary.requestClass,
    String(summary.sent),
    String(summary.answered),
    String(summary.refused),
    String(summary.failed),
    summary.errorKinds.map(({kind, count}) => `${count} ${kind}`).join(', '),
    [firstToken.p50Ms, firstToken.p95Ms, firstToken.p99Ms].map(ms => ms.toFixed(0)).join('/'),
    [interToken.p50Ms, interToken.p95Ms].map(ms => ms.toFixed(1)).join('/'),
    String(answerTokens),
    String(summary.recomputedTokens),
    getCost(answerTokens, TOKENS_PER_MILLION),
    getCost(answered, REQUESTS_PER_THOUSAND),
  ];
}

function createTimelinePlot(
  seconds: readonly LoadSecondSummary[],
  marks: readonly PlotMark[],
): string {
  const series = SERIES.map(({name, color, getCount}) => ({
    name,
    color,
    points: seconds.map(second => ({x: second.second, y: getCount(second)})),
  }));
  return createLinePlot({series, marks, xLabel: 's', yLabel: '/s'});
}
