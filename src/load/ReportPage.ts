/** Renders a report of tables, notes and plots as Markdown or as a self-contained HTML page. */
import {escapeHtml} from './SvgPlot.js';

/** A table of a report; each row has one cell for each column. */
export interface ReportTable {
  readonly caption: string;
  readonly columns: readonly string[];
  readonly rows: ReadonlyArray<readonly string[]>;
}

/** A plot of a report. */
export interface ReportPlot {
  readonly caption: string;
  /** SVG element, inserted without escaping. */
  readonly svg: string;
}

/** Contents of a report on an experiment or a load test. */
export interface ExperimentReport {
  readonly title: string;
  /** Command that reproduces the figures. */
  readonly command: string;
  /** Explanations of the figures and their limits; shown in the HTML page only. */
  readonly notes: readonly string[];
  readonly tables: readonly ReportTable[];
  readonly plots: readonly ReportPlot[];
}

const STYLE = `body{font:14px sans-serif;margin:2em;max-width:80em}td,th{padding:2px 8px;text-align:right;border-bottom:1px solid #ddd}
td:nth-child(-n+2),th:nth-child(-n+2){text-align:left}`;

/** Returns the tables of a report as Markdown; leaves out the title, command, notes and plots. */
export function createReportMarkdown({tables}: ExperimentReport): string {
  return tables
    .map(({caption, columns, rows}) => {
      const header = `| ${columns.join(' | ')} |`;
      const rule = `|${columns.map(() => '---').join('|')}|`;
      const lines = rows.map(row => `| ${row.join(' | ')} |`);
      return [`${caption}:`, '', header, rule, ...lines].join('\n');
    })
    .join('\n\n');
}

/** Returns a report as an HTML page without external resources; escapes all text. */
export function createReportPage({title, command, notes, tables, plots}: ExperimentReport): string {
  const plotParts = plots.map(({caption, svg}) => `<h3>${escapeHtml(caption)}</h3>\n${svg}`);
  return `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>${escapeHtml(title)}</title>
<style>${STYLE}</style></head><body>
<h1>${escapeHtml(title)}</h1><p><code>${escapeHtml(command)}</code></p>
${notes.map(note => `<p>${escapeHtml(note)}</p>`).join('\n')}
${tables.map(createHtmlTable).join('\n')}
${plotParts.join('\n')}
</body></html>
`;
}

function createHtmlTable({caption, columns, rows}: ReportTable): string {
  const head = columns.map(column => `<th>${escapeHtml(column)}</th>`).join('');
  const lines = rows.map(
    row => `<tr>${row.map(cell => `<td>${escapeHtml(cell)}</td>`).join('')}</tr>`,
  );
  return `<h2>${escapeHtml(caption)}</h2><table><tr>${head}</tr>\n${lines.join('\n')}\n</table>`;
}
