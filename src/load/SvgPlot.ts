/** Plots lines in SVG. */

/** A point of a line. */
export interface PlotPoint {
  readonly x: number;
  readonly y: number;
}

/** A named line. */
export interface PlotSeries {
  readonly name: string;
  readonly points: readonly PlotPoint[];
}

/** What a plot shows. */
export interface Plot {
  readonly xLabel: string;
  readonly yLabel: string;
  readonly series: readonly PlotSeries[];
}

const WIDTH_PX = 720;
const HEIGHT_PX = 320;
const MARGIN_PX = 48;
const LEGEND_STEP_PX = 16;
const COLOURS = ['#1b6ca8', '#c0392b', '#27864b', '#8e44ad', '#b9770e'] as const;

/** Returns an SVG element with one line a series; both axes begin at 0. */
export function drawPlot({xLabel, yLabel, series}: Plot): string {
  const all = series.flatMap(({points}) => points);
  const maxX = Math.max(...all.map(({x}) => x), 1);
  const maxY = Math.max(...all.map(({y}) => y), 1);
  const place = ({x, y}: PlotPoint) => {
    const leftPx = MARGIN_PX + (x / maxX) * (WIDTH_PX - 2 * MARGIN_PX);
    const topPx = HEIGHT_PX - MARGIN_PX - (y / maxY) * (HEIGHT_PX - 2 * MARGIN_PX);
    return `${leftPx.toFixed(1)},${topPx.toFixed(1)}`;
  };
  return [
    `<svg xmlns="http://www.w3.org/2000/svg" width="${WIDTH_PX}" height="${HEIGHT_PX}" font-size="12">`,
    drawAxes(xLabel, yLabel, maxX, maxY),
    ...series.map(({name, points}, index) => drawSeries(name, points.map(place), index)),
    '</svg>',
  ].join('\n');
}

function drawAxes(xLabel: string, yLabel: string, maxX: number, maxY: number): string {
  const bottomPx = HEIGHT_PX - MARGIN_PX;
  const rightPx = WIDTH_PX - MARGIN_PX;
  return [
    `<path d="M${MARGIN_PX},${MARGIN_PX} V${bottomPx} H${rightPx}" fill="none" stroke="#444"/>`,
    `<text x="${rightPx}" y="${bottomPx + LEGEND_STEP_PX}" text-anchor="end">${xLabel} (to ${maxX})</text>`,
    `<text x="${MARGIN_PX}" y="${MARGIN_PX - LEGEND_STEP_PX}">${yLabel} (to ${maxY})</text>`,
  ].join('\n');
}

function drawSeries(name: string, places: readonly string[], index: number): string {
  const colour = COLOURS[index % COLOURS.length];
  const legendPx = MARGIN_PX + index * LEGEND_STEP_PX;
  return [
    `<polyline points="${places.join(' ')}" fill="none" stroke="${colour}" stroke-width="2"/>`,
    `<text x="${MARGIN_PX + LEGEND_STEP_PX}" y="${legendPx}" fill="${colour}">${name}</text>`,
  ].join('\n');
}
