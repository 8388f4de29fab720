/** Reports on loads: a table in Markdown, and a page in HTML with plots. */
import type {CallResult} from './LoadCall.js';
import {getFirstTokenCurve, type LoadSummary} from './LoadStatistics.js';
import {drawPlot} from './SvgPlot.js';

/** A policy with what became of its load. */
export interface PolicyReport {
  readonly policy: string;
  readonly results: readonly CallResult[];
  readonly summaries: readonly LoadSummary[];
}

const HEADER = [
  'policy',
  'workspace',
  'requests',
  'answered',
  'first token p50/p95/p99 ms',
  'longest gap p50/p95 ms',
  'prompt tokens',
  'recomputed',
  'generated',
  'USD per 1000 good',
] as const;
const COST_DIGITS = 3;
const BUCKET_MS = 1_000;

/** Returns a row for each policy and workspace. */
export function createMarkdown(reports: readonly PolicyReport[]): string {
  const rows = reports.flatMap(({policy, summaries}) =>
    summaries.map(summary => [policy, ...getCells(summary)]),
  );
  const lines = [HEADER, HEADER.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}

/** Returns a page with the table and plots. */
export function createHtml(title: string, reports: readonly PolicyReport[]): string {
  const curves = reports.map(({policy, results}) => ({
    name: policy,
    points: getFirstTokenCurve(results).map(({percentile, valueMs}) => ({
      x: percentile,
      y: valueMs,
    })),
  }));
  const rates = reports.map(({policy, results}) => ({
    name: policy,
    points: countAnswersPerSecond(results),
  }));
  return [
    '<!doctype html><meta charset="utf-8">',
    `<title>${escapeHtml(title)}</title><h1>${escapeHtml(title)}</h1>`,
    '<h2>Time to the first token</h2>',
    drawPlot({xLabel: 'percentile', yLabel: 'ms', series: curves}),
    '<h2>Answers by the second of their arrival</h2>',
    drawPlot({xLabel: 'second', yLabel: 'answers', series: rates}),
    `<pre>${escapeHtml(createMarkdown(reports))}</pre>`,
  ].join('\n');
}

/** Returns a text that means itself in HTML. */
export function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('"', '&quot;');
}

function getCells(summary: LoadSummary): readonly string[] {
  const {firstToken, longestGap, costUsdPerThousand} = summary;
  return [
    summary.group,
    String(summary.requests),
    String(summary.answered),
    `${firstToken.p50Ms}/${firstToken.p95Ms}/${firstToken.p99Ms}`,
    `${longestGap.p50Ms}/${longestGap.p95Ms}`,
    String(summary.promptTokens),
    String(summary.recomputedTokens),
    String(summary.generatedTokens),
    costUsdPerThousand?.toFixed(COST_DIGITS) ?? '',
  ];
}

function countAnswersPerSecond(results: readonly CallResult[]) {
  const counts = new Map<number, number>();
  for (const {arrival, isAnswered} of results) {
    const second = Math.floor(arrival.atMs / BUCKET_MS);
    counts.set(second, (counts.get(second) ?? 0) + (isAnswered ? 1 : 0));
  }
  return [...counts].sort(([a], [b]) => a - b).map(([x, y]) => ({x, y}));
}
