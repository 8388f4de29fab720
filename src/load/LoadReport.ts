/** Shows loads side by side: a Markdown table, and an HTML page with plots. */
import type {LoadSecond, LoadSummary} from './LoadResult.js';

/** A load as a report shows it. */
export interface ReportedLoad {
  /** What sets it apart from the others, such as a routing policy. */
  readonly name: string;
  readonly summaries: readonly LoadSummary[];
  readonly seconds: readonly LoadSecond[];
  /** Cost of the backend servers while it ran; absent where no prices were read. */
  readonly costUsd?: number;
}

/** What a report says beside its loads. */
export interface ReportOptions {
  readonly title: string;
  /** Command that gives the figures. */
  readonly command: string;
  readonly loads: readonly ReportedLoad[];
}

const PLOT_WIDTH_PX = 640;
const PLOT_HEIGHT_PX = 140;
const TOKENS_PER_MILLION = 1_000_000;
const COLUMNS = [
  'load',
  'workspace',
  'class',
  'sent',
  'answered',
  'refused',
  'failed',
  'first token p50/p95/p99 ms',
  'between tokens p50/p95 ms',
  'answer tokens',
  'recomputed tokens',
  'USD per million answer tokens',
] as const;

const SERIES = [
  {name: 'answered', color: '#2b7a3d', getCount: (second: LoadSecond) => second.answered},
  {name: 'late', color: '#d49b00', getCount: (second: LoadSecond) => second.late},
  {name: 'refused', color: '#6b6bd6', getCount: (second: LoadSecond) => second.refused},
  {name: 'failed', color: '#c0392b', getCount: (second: LoadSecond) => second.failed},
] as const;

/** Returns the rows of a report as a Markdown table. */
export function createMarkdownTable({loads}: ReportOptions): string {
  const header = `| ${COLUMNS.join(' | ')} |`;
  const rule = `|${COLUMNS.map(() => '---').join('|')}|`;
  const rows = createRows(loads).map(row => `| ${row.join(' | ')} |`);
  return [header, rule, ...rows].join('\n');
}

/** Returns a report as an HTML page that needs no other file. */
export function createHtmlReport(options: ReportOptions): string {
  const {title, command, loads} = options;
  const head = COLUMNS.map(column => `<th>${escapeHtml(column)}</th>`).join('');
  const rows = createRows(loads)
    .map(row => `<tr>${row.map(cell => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`)
    .join('\n');
  const legend = SERIES.map(({name, color}) => `<span style="color:${color}">■ ${name}</span>`);
  const plots = loads.map(load => `<h3>${escapeHtml(load.name)}</h3>\n${createPlot(load.seconds)}`);
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title>
<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}
td:nth-child(-n+3),th:nth-child(-n+3){text-align:left}</style></head><body>
<h1>${escapeHtml(title)}</h1><p><code>${escapeHtml(command)}</code></p>
<table><tr>${head}</tr>
${rows}
</table>
<h2>Requests second by second</h2><p>${legend.join(' ')}</p>
${plots.join('\n')}
</body></html>
`;
}

function createRows(loads: readonly ReportedLoad[]): ReadonlyArray<readonly string[]> {
  return loads.flatMap(load => load.summaries.map(summary => createRow(load, summary)));
}

function createRow({name, costUsd}: ReportedLoad, summary: LoadSummary): readonly string[] {
  const {firstToken, interToken, answerTokens} = summary;
  const isAll = summary.workspace === 'all';
  const cost =
    isAll && costUsd !== undefined && answerTokens > 0
      ? ((costUsd / answerTokens) * TOKENS_PER_MILLION).toFixed(2)
      : '';
  return [
    name,
    summary.workspace,
    summary.requestClass,
    String(summary.sent),
    String(summary.answered),
    String(summary.refused),
    String(summary.failed),
    [firstToken.p50Ms, firstToken.p95Ms, firstToken.p99Ms].map(ms => ms.toFixed(0)).join('/'),
    [interToken.p50Ms, interToken.p95Ms].map(ms => ms.toFixed(1)).join('/'),
    String(answerTokens),
    String(summary.recomputedTokens),
    cost,
  ];
}

function createPlot(seconds: readonly LoadSecond[]): string {
  const highest = Math.max(1, ...seconds.flatMap(second => SERIES.map(s => s.getCount(second))));
  const stepPx = PLOT_WIDTH_PX / Math.max(1, seconds.length - 1);
  const getY = (count: number) => PLOT_HEIGHT_PX - (count / highest) * PLOT_HEIGHT_PX;
  const lines = SERIES.map(({color, getCount}) => {
    const points = seconds.map(
      (second, i) => `${(i * stepPx).toFixed(1)},${getY(getCount(second)).toFixed(1)}`,
    );
    return `<polyline fill="none" stroke="${color}" stroke-width="1.5" points="${points.join(' ')}"/>`;
  });
  return `<svg width="${PLOT_WIDTH_PX + 60}" height="${PLOT_HEIGHT_PX + 24}" role="img" aria-label="requests a second">
<g transform="translate(40,4)"><rect width="${PLOT_WIDTH_PX}" height="${PLOT_HEIGHT_PX}" fill="none" stroke="#ccc"/>
${lines.join('\n')}
<text x="-6" y="10" text-anchor="end" font-size="11">${highest}</text>
<text x="-6" y="${PLOT_HEIGHT_PX}" text-anchor="end" font-size="11">0</text>
<text x="${PLOT_WIDTH_PX}" y="${PLOT_HEIGHT_PX + 16}" text-anchor="end" font-size="11">${seconds.length} s</text></g></svg>`;
}

function escapeHtml(text: string): string {
  return text.replaceAll('&', '&amp;').replaceAll('<', '&lt;').replaceAll('>', '&gt;');
}
