/** Draws line and bar plots as SVG elements. */

/** A point in the units of the axes. */
export interface PlotPoint {
  readonly x: number;
  readonly y: number;
}

/** A line of a plot, with its name for the legend. */
export interface PlotSeries {
  readonly name: string;
  readonly color: string;
  /** Points in the order in which the line connects them. */
  readonly points: readonly PlotPoint[];
}

/** A labelled vertical line at a value of the horizontal axis. */
export interface PlotMark {
  readonly x: number;
  readonly label: string;
}

/** Options of `createLinePlot`. */
export interface LinePlotOptions {
  readonly series: readonly PlotSeries[];
  /** Units of the axes, shown after their largest values. */
  readonly xLabel: string;
  readonly yLabel: string;
  readonly marks?: readonly PlotMark[];
}

/** Bars of one colour, with one value for each category; missing values are drawn as 0. */
export interface BarSeries {
  readonly name: string;
  readonly color: string;
  readonly values: readonly number[];
}

/** Options of `createBarPlot`. */
export interface BarPlotOptions {
  readonly categories: readonly string[];
  readonly series: readonly BarSeries[];
}

/** Default colours of series, to be assigned in order. */
export const SERIES_COLORS: readonly string[] = [
  '#2b7a3d',
  '#c0392b',
  '#6b6bd6',
  '#d49b00',
  '#555555',
  '#1f9ec4',
];

const WIDTH_PX = 640;
const HEIGHT_PX = 140;
const LEFT_MARGIN_PX = 56;
const RIGHT_MARGIN_PX = 24;
const LEGEND_ROW_PX = 16;
const LEGEND_NAMES_PER_ROW = 3;
const LEGEND_GAP_PX = 6;
const BOTTOM_MARGIN_PX = 22;
const BAR_PX = 10;
const BAR_GAP_PX = 8;
const BAR_LABEL_PX = 260;
const BAR_VALUE_PX = 70;
const SIGNIFICANT_DIGITS = 3;

/** Returns a line plot, whose vertical axis starts at 0 and whose horizontal axis spans the points of all series. */
export function createLinePlot({series, xLabel, yLabel, marks = []}: LinePlotOptions): string {
  const points = series.flatMap(line => line.points);
  const lowestX = points.reduce((lowest, {x}) => Math.min(lowest, x), points[0]?.x ?? 0);
  const highestX = points.reduce((highest, {x}) => Math.max(highest, x), lowestX);
  const highestY = points.reduce((highest, {y}) => Math.max(highest, y), 0) || 1;
  const getX = (x: number) => ((x - lowestX) / (highestX - lowestX || 1)) * WIDTH_PX;
  const getY = (y: number) => HEIGHT_PX - (y / highestY) * HEIGHT_PX;
  const lines = series.map(({color, points: seriesPoints}) => {
    const path = seriesPoints
      .map(({x, y}) => `${getX(x).toFixed(1)},${getY(y).toFixed(1)}`)
      .join(' ');
    return `<polyline fill="none" stroke="${color}" stroke-width="1.5" points="${path}"/>`;
  });
  const body = [
    `<rect width="${WIDTH_PX}" height="${HEIGHT_PX}" fill="none" stroke="#ccc"/>`,
    ...marks.map(({x, label}) => createMark(getX(x), label)),
    ...lines,
    createText(-6, 10, 'end', `${formatNumber(highestY)} ${yLabel}`),
    createText(-6, HEIGHT_PX, 'end', '0'),
    createText(0, HEIGHT_PX + 16, 'start', formatNumber(lowestX)),
    createText(WIDTH_PX, HEIGHT_PX + 16, 'end', `${formatNumber(highestX)} ${xLabel}`),
  ];
  return createSvg(HEIGHT_PX, series, body);
}

/** Returns a plot of horizontal bars, grouped by category and labelled with their values. */
export function createBarPlot({categories, series}: BarPlotOptions): string {
  const highest = Math.max(0, ...series.flatMap(({values}) => values)) || 1;
  const groupPx = series.length * BAR_PX + BAR_GAP_PX;
  const lengthPx = WIDTH_PX - BAR_LABEL_PX - BAR_VALUE_PX;
  const body = categories.flatMap((category, group) => {
    const top = group * groupPx;
    const bars = series.flatMap(({color, values}, index) => {
      const y = top + index * BAR_PX;
      const width = ((values[group] ?? 0) / highest) * lengthPx;
      return [
        `<rect x="${BAR_LABEL_PX}" y="${y}" width="${width.toFixed(1)}" height="${BAR_PX - 1}" fill="${color}"/>`,
        createText(BAR_LABEL_PX + width + 4, y + 8, 'start', formatNumber(values[group] ?? 0)),
      ];
    });
    return [createText(BAR_LABEL_PX - 6, top + groupPx / 2, 'end', category), ...bars];
  });
  return createSvg(categories.length * groupPx, series, body);
}

/** Escapes the special characters of HTML and SVG in text or in an attribute value in double quotes. */
export function escapeHtml(text: string): string {
  return text
    .replaceAll('&', '&amp;')
    .replaceAll('<', '&lt;')
    .replaceAll('>', '&gt;')
    .replaceAll('"', '&quot;');
}

function createSvg(
  heightPx: number,
  series: ReadonlyArray<{readonly name: string; readonly color: string}>,
  body: readonly string[],
): string {
  const rows = Math.ceil(series.length / LEGEND_NAMES_PER_ROW);
  const legend = Array.from({length: rows}, (unused, row) => {
    const rowSeries = series.slice(row * LEGEND_NAMES_PER_ROW, (row + 1) * LEGEND_NAMES_PER_ROW);
    const names = rowSeries.map(
      ({name, color}) => `<tspan fill="${color}">■ ${escapeHtml(name)} </tspan>`,
    );
    return `<text x="${LEFT_MARGIN_PX}" y="${row * LEGEND_ROW_PX + 12}">${names.join('')}</text>`;
  });
  const topPx = rows * LEGEND_ROW_PX + LEGEND_GAP_PX;
  const width = LEFT_MARGIN_PX + WIDTH_PX + RIGHT_MARGIN_PX;
  return `<svg xmlns="http://www.w3.org/2000/svg" width="${width}" height="${topPx + heightPx + BOTTOM_MARGIN_PX}" font-family="sans-serif" font-size="11" role="img">
${legend.join('\n')}
<g transform="translate(${LEFT_MARGIN_PX},${topPx})">
${body.join('\n')}
</g></svg>`;
}

function createMark(x: number, label: string): string {
  const xText = x.toFixed(1);
  return `<line x1="${xText}" x2="${xText}" y1="0" y2="${HEIGHT_PX}" stroke="#888" stroke-dasharray="3 3"/>${createText(x + 3, 10, 'start', label)}`;
}

function createText(x: number, y: number, anchor: 'start' | 'end', text: string): string {
  return `<text x="${x.toFixed(1)}" y="${y}" text-anchor="${anchor}">${escapeHtml(text)}</text>`;
}

function formatNumber(value: number): string {
  return Number.isInteger(value)
    ? String(value)
    : String(Number(value.toPrecision(SIGNIFICANT_DIGITS)));
}
