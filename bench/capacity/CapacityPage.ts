/** The tables of docs/CAPACITY.md: written by the bench, read by the test of their arithmetic. */
import type {LineFit, Sample} from './LeastSquares.js';
import type {SlopeDefinition} from './SlopeDefinition.js';
import {BUDGET, RESOURCE_DIVISORS, RESOURCE_UNITS, type Resource} from './Target.js';
import type {Phase, WorkedRow} from './WorkedRows.js';

/** A slope as the page prints it. */
export interface PageSlope {
  readonly id: string;
  readonly intercept: number;
  readonly slope: number;
  readonly power: number;
}

/** A worked-out row as the page prints it. */
export interface PageRow {
  readonly row: WorkedRow;
  readonly value: number;
  /** Size at which this row alone uses the whole budget, at its times a second; Infinity where it never does. */
  readonly sizeLimit: number;
  /** Times a second at which this row alone uses the whole budget, at its size; absent for memory. */
  readonly rateLimit: number | undefined;
}

/** A measured slope. */
export interface MeasuredSlope {
  readonly definition: SlopeDefinition;
  readonly samples: readonly Sample[];
  readonly fit: LineFit;
}

/** Digits of the printed intercepts and slopes; the rows are worked out from the printed ones. */
const DIGITS = 5;
const VALUE_DIGITS = 3;
const RESOURCES: readonly Resource[] = ['cpu', 'memory', 'network'];

/** Returns a number as the page prints it. */
export function formatNumber(value: number, digits = DIGITS): string {
  if (!Number.isFinite(value)) return 'any';
  return String(Number(value.toPrecision(digits)));
}

/** Returns a residual as the page prints it. */
export function formatPercent(percent: number): string {
  return String(Math.round(percent * 100) / 100);
}

/**
 * Works a row out.
 * @param row - The row.
 * @param slope - Its slope as printed.
 */
export function workOut(row: WorkedRow, slope: PageSlope): PageRow {
  const {resource, itemCount, timesPerSecond} = row;
  const divisor = RESOURCE_DIVISORS[resource];
  const valueOnce = (slope.intercept + slope.slope * itemCount ** slope.power) / divisor;
  const value = valueOnce * timesPerSecond;
  const left = ((BUDGET[resource] / timesPerSecond) * divisor - slope.intercept) / slope.slope;
  const sizeLimit = slope.slope <= 0 ? Infinity : Math.max(0, left) ** (1 / slope.power);
  const rateLimit = resource === 'memory' ? undefined : BUDGET[resource] / valueOnce;
  return {row, value, sizeLimit, rateLimit};
}

/** Returns a slope rounded as the page prints it. */
export function toPageSlope({definition, fit}: MeasuredSlope): PageSlope {
  return {
    id: definition.id,
    intercept: Number(formatNumber(fit.intercept)),
    slope: Number(formatNumber(fit.slope)),
    power: fit.power,
  };
}

/** Returns the table of slopes. */
export function formatSlopes(slopes: readonly MeasuredSlope[]): string {
  const rows = slopes.map(measured => {
    const {definition, samples, fit} = measured;
    const {intercept, slope, power} = toPageSlope(measured);
    const residuals = fit.residualPercents.map(formatPercent);
    return [
      definition.id,
      definition.description,
      definition.sizeUnit,
      samples.map(({itemCount}) => itemCount).join(', '),
      formatNumber(intercept),
      formatNumber(slope),
      String(power),
      definition.valueUnit,
      samples.map(({value}) => formatNumber(value, VALUE_DIGITS)).join(', '),
      residuals.join(', '),
      'measured',
    ];
  });
  const headings = ['id', 'what', 'size counts', 'sizes', 'at size 0', 'per size', 'power'];
  return toTable([...headings, 'unit', 'values', 'residuals %', 'status'], rows);
}

/** Returns the table of worked-out rows of a phase, with the sum of each resource. */
export function formatRows(phase: Phase, rows: readonly PageRow[]): string {
  const chosen = rows.filter(({row}) => row.phase === phase);
  const lines = chosen.map(({row, value, sizeLimit, rateLimit}) => [
    row.role,
    row.mechanism,
    row.slopeId,
    String(row.itemCount),
    formatNumber(row.timesPerSecond),
    row.resource,
    formatNumber(value, VALUE_DIGITS),
    RESOURCE_UNITS[row.resource],
    `${formatNumber((value / BUDGET[row.resource]) * 100, VALUE_DIGITS)}%`,
    formatNumber(sizeLimit, VALUE_DIGITS),
    rateLimit === undefined ? '-' : formatNumber(rateLimit, VALUE_DIGITS),
  ]);
  const sums = RESOURCES.map(resource => {
    const sum = sumRows(resource, chosen);
    const share = (sum / BUDGET[resource]) * 100;
    const unit = RESOURCE_UNITS[resource];
    const text = formatNumber(sum, VALUE_DIGITS);
    const shareText = `${formatNumber(share, VALUE_DIGITS)}%`;
    return ['**sum**', '', '', '', '', resource, text, unit, shareText, '', ''];
  });
  const headings = ['role', 'mechanism', 'slope', 'size', 'times a second', 'resource', 'value'];
  return toTable(
    [...headings, 'unit', 'of budget', 'size limit', 'rate limit'],
    [...lines, ...sums],
  );
}

/** Returns the sum of a resource over rows. */
export function sumRows(resource: Resource, rows: readonly PageRow[]): number {
  return rows.filter(({row}) => row.resource === resource).reduce((sum, {value}) => sum + value, 0);
}

/**
 * Returns the page with the text between two markers replaced.
 * @param page - The page.
 * @param name - Name of the markers.
 * @param text - What is to stand between them.
 */
export function replaceBetweenMarkers(page: string, name: string, text: string): string {
  const begin = `<!-- ${name}:begin -->`;
  const end = `<!-- ${name}:end -->`;
  const from = page.indexOf(begin);
  const to = page.indexOf(end);
  if (from < 0 || to < from) throw new Error(`the page has no markers "${name}"`);
  return `${page.slice(0, from + begin.length)}\n${text}\n${page.slice(to)}`;
}

/**
 * Returns the cells of the table between two markers, without its headings.
 * @param page - The page.
 * @param name - Name of the markers.
 */
export function readTable(page: string, name: string): ReadonlyArray<readonly string[]> {
  const [, text = ''] = page.split(`<!-- ${name}:begin -->`);
  const lines = (text.split(`<!-- ${name}:end -->`)[0] ?? '').trim().split('\n');
  return lines.slice(2).map(line =>
    line
      .split('|')
      .slice(1, -1)
      .map(cell => cell.trim()),
  );
}

/** Returns a Markdown table. */
export function toTable(
  headings: readonly string[],
  rows: ReadonlyArray<readonly string[]>,
): string {
  const lines = [headings, headings.map(() => '---'), ...rows];
  return lines.map(cells => `| ${cells.join(' | ')} |`).join('\n');
}
