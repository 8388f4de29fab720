/** Tests of the Markdown and HTML of reports, and of the SVG of plots. */
import t from 'tap';
import {
  createBarPlot,
  createLinePlot,
  createReportMarkdown,
  createReportPage,
  type ExperimentReport,
} from '../../src/load/index.js';

const REPORT: ExperimentReport = {
  title: 'A < B',
  command: 'run "x"',
  notes: ['n & m'],
  tables: [{caption: 'C', columns: ['a', 'b'], rows: [['1', '<2>']]}],
  plots: [{caption: 'P', svg: '<svg></svg>'}],
};

t.test('createReportMarkdown renders the tables', t => {
  t.equal(createReportMarkdown(REPORT), 'C:\n\n| a | b |\n|---|---|\n| 1 | <2> |');
  t.end();
});

t.test('createReportPage escapes text and keeps plots', t => {
  const page = createReportPage(REPORT);
  t.match(page, '<h1>A &lt; B</h1><p><code>run &quot;x&quot;</code></p>');
  t.match(page, '<p>n &amp; m</p>');
  t.match(page, '<td>1</td><td>&lt;2&gt;</td>');
  t.match(page, '<h3>P</h3>\n<svg></svg>');
  t.end();
});

t.test('createLinePlot spans the axes and draws marks', t => {
  const points = [
    {x: 10, y: 0},
    {x: 20, y: 4},
  ];
  const series = [{name: 's', color: 'red', points}];
  const svg = createLinePlot({series, xLabel: 's', yLabel: '%', marks: [{x: 15, label: 'away'}]});
  t.match(svg, 'points="0.0,140.0 640.0,0.0"');
  t.match(svg, 'x1="320.0"');
  t.match(svg, '>away<');
  t.end();
});

t.test('createBarPlot draws bar widths in proportion to the values', t => {
  const series = [{name: 's', color: 'red', values: [10, 5]}];
  const svg = createBarPlot({categories: ['a', 'b'], series});
  const widths = [...svg.matchAll(/<rect [^>]*width="([\d.]+)"/g)].map(match => Number(match[1]));
  t.same(widths, [310, 155]);
  t.end();
});
