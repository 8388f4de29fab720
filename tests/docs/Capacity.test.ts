/** Tests that the numbers of docs/CAPACITY.md are consistent: slopes fit the printed values, and rows follow from the slopes. */
import {readFileSync} from 'node:fs';
import t from 'tap';
import {
  APPEND_ROWS,
  BUDGET,
  fitLine,
  formatNumber,
  parseTable,
  SLOPE_DEFINITIONS,
  sumAppends,
  sumRows,
  CAPACITY_ROWS,
  computeRow,
  type ComputedRow,
  type DesignPhase,
  type Resource,
} from '../../bench/capacity/index.js';

const PAGE = readFileSync('docs/CAPACITY.md', 'utf8');
const DIGITS = 3;
/** Tolerance relative to the value: the page prints values with three digits, and the fit weighs samples by 1 / value^2. */
const FIT_TOLERANCE = 0.05;
const MIN_SIZES = 4;

function toNumbers(cell: string): readonly number[] {
  return cell.split(',').map(Number);
}

const slopes = parseTable(PAGE, 'slopes').map(cells => {
  const [id = '', , , sizes = '', intercept, slope, power, , values = '', , status = ''] = cells;
  return {
    id,
    status,
    sizes: toNumbers(sizes),
    values: toNumbers(values),
    intercept: Number(intercept),
    slope: Number(slope),
    power: Number(power),
  };
});

t.test('the table of slopes lists every defined slope', t => {
  t.same(
    slopes.map(({id}) => id),
    SLOPE_DEFINITIONS.map(({id}) => id),
  );
  for (const {id, status, sizes, values, intercept, slope, power} of slopes) {
    t.test(`${id}: printed slope matches a fit of the printed values`, t => {
      t.equal(status, 'measured');
      t.ok(sizes.length >= MIN_SIZES && values.length === sizes.length);
      const fit = fitLine(
        sizes.map((size, index) => ({itemCount: size, value: values[index] ?? 0})),
        power,
      );
      for (const [index, size] of sizes.entries()) {
        const printed = intercept + slope * size ** power;
        const fitted = fit.intercept + fit.slope * size ** power;
        t.ok(
          Math.abs(printed - fitted) <= FIT_TOLERANCE * (values[index] ?? 0),
          `${printed} and ${fitted}`,
        );
      }
      t.end();
    });
  }
  t.end();
});

for (const phase of ['today', 'replacement'] as const) {
  t.test(`rows and sums of ${phase} follow from the slopes`, t => {
    const table = parseTable(PAGE, phase);
    const rows = workOutRows(phase);
    const lines = table.filter(([role]) => role !== '**sum**');
    t.equal(lines.length, rows.length);
    lines.forEach((cells, index) => {
      const {row, value} = rows[index] ?? {};
      t.same(
        [cells[2], cells[3], cells[6]],
        [row?.slopeId, String(row?.itemCount), formatNumber(value ?? 0, DIGITS)],
      );
    });
    for (const resource of Object.keys(BUDGET) as Resource[]) {
      const line = table.find(cells => cells[0] === '**sum**' && cells[5] === resource);
      t.equal(line?.[6], formatNumber(sumRows(resource, rows), DIGITS), `sum of ${resource}`);
    }
    t.end();
  });
}

t.test('the replacement fits the budget in all resources', t => {
  const rows = workOutRows('replacement');
  for (const resource of Object.keys(BUDGET) as Resource[]) {
    t.ok(sumRows(resource, rows) <= BUDGET[resource], resource);
  }
  t.end();
});

t.test('append rates add up to the printed sums', t => {
  const sums = parseTable(PAGE, 'appends').filter(cells => cells[1] === '**sum**');
  for (const [phase = '', , , , sum] of sums) {
    t.equal(sum, formatNumber(sumAppends(phase as DesignPhase, APPEND_ROWS), 4));
  }
  t.equal(sums.length, 2);
  t.end();
});

function workOutRows(phase: DesignPhase): readonly ComputedRow[] {
  return CAPACITY_ROWS.filter(row => row.phase === phase).map(row => {
    const slope = slopes.find(({id}) => id === row.slopeId);
    if (!slope) throw new Error(`docs/CAPACITY.md has no slope "${row.slopeId}"`);
    return computeRow(row, slope);
  });
}
