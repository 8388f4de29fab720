/** Formats and parses the tables of docs/CAPACITY.md; a test recomputes the tables from the printed slopes. */
import type {LineFit, Sample} from './LeastSquares.js';
import type {SlopeDefinition} from './SlopeDefinition.js';
import {BUDGET, RESOURCE_DIVISORS, RESOURCE_UNITS, type Resource} from './Target.js';
import type {DesignPhase, CapacityRow} from './CapacityRows.js';

/** Coefficients of a fitted line, rounded as the page prints them. */
export interface RoundedSlope {
  readonly id: string;
  readonly intercept: number;
  readonly slope: number;
  readonly power: number;
}

/** A row with its computed resource use at the target size. */
export interface ComputedRow {
  readonly row: CapacityRow;
  readonly value: number;
  /** Size at which this row alone uses up the budget, at its rate; Infinity if its cost does not grow with size. */
  readonly sizeLimit: number;
  /** Rate per second at which this row alone uses up the budget, at its size; undefined for memory. */
  readonly rateLimit: number | undefined;
}

/** A quantity with its samples and the line fitted through them. */
export interface MeasuredSlope {
  readonly definition: SlopeDefinition;
  readonly samples: readonly Sample[];
  readonly fit: LineFit;
}

/** Significant digits of printed intercepts and slopes; rows are computed from the rounded coefficients. */
const COEFFICIENT_DIGITS = 5;
const VALUE_DIGITS = 3;
const RESOURCES: readonly Resource[] = ['cpu', 'memory', 'network'];

/** Returns a number rounded to significant digits as the page prints it; `any` for a limit of Infinity. */
export function formatNumber(value: number, digits = COEFFICIENT_DIGITS): string {
  if (!Number.isFinite(value)) return 'any';
  return String(Number(value.toPrecision(digits)));
}

/** Returns a residual rounded to two decimals. */
export function formatPercent(percent: number): string {
  return String(Math.round(percent * 100) / 100);
}

/**
 * Computes a row's resource use and the size and rate at which it alone would exhaust the budget.
 * @param slope - Rounded coefficients of the row's slope.
 */
export function computeRow(row: CapacityRow, slope: RoundedSlope): ComputedRow {
  const {resource, itemCount, eventsPerSecond} = row;
  const divisor = RESOURCE_DIVISORS[resource];
  const valuePerEvent = (slope.intercept + slope.slope * itemCount ** slope.power) / divisor;
  const value = valuePerEvent * eventsPerSecond;
  const sizeTerm = ((BUDGET[resource] / eventsPerSecond) * divisor - slope.intercept) / slope.slope;
  const sizeLimit = slope.slope <= 0 ? Infinity : Math.max(0, sizeTerm) ** (1 / slope.power);
  const rateLimit = resource === 'memory' ? undefined : BUDGET[resource] / valuePerEvent;
  return {row, value, sizeLimit, rateLimit};
}

/** Returns the coefficients of a measured slope, rounded as the page prints them. */
export function roundSlope({definition, fit}: MeasuredSlope): RoundedSlope {
  return {
    id: definition.id,
    intercept: Number(formatNumber(fit.intercept)),
    slope: Number(formatNumber(fit.slope)),
    power: fit.power,
  };
}

/** Returns the Markdown table of slopes with their samples and residuals. */
export function formatSlopes(slopes: readonly MeasuredSlope[]): string {
  const rows = slopes.map(measured => {
    const {definition, samples, fit} = measured;
    const {intercept, slope, power} = roundSlope(measured);
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

/** Returns the Markdown table of a phase's computed rows, with the sum and budget share per resource. */
export function formatRows(phase: DesignPhase, rows: readonly ComputedRow[]): string {
  const chosen = rows.filter(({row}) => row.phase === phase);
  const lines = chosen.map(({row, value, sizeLimit, rateLimit}) => [
    row.role,
    row.mechanism,
    row.slopeId,
    String(row.itemCount),
    formatNumber(row.eventsPerSecond),
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

/** Returns the total use of a resource over rows. */
export function sumRows(resource: Resource, rows: readonly ComputedRow[]): number {
  return rows.filter(({row}) => row.resource === resource).reduce((sum, {value}) => sum + value, 0);
}

/**
 * Returns the page with the text between two markers replaced.
 * @param name - Markers are `<!-- NAME:begin -->` and `<!-- NAME:end -->`; throws if they are missing.
 * @param text - Replacement for the text between the markers.
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
 * Parses the Markdown table between two markers and returns its cells without the heading row.
 * @param name - Name of the markers, as in `replaceBetweenMarkers`.
 */
export function parseTable(page: string, name: string): ReadonlyArray<readonly string[]> {
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
