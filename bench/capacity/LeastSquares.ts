/** Weighted least-squares fit of a line through measured points. */

/** A measured value at a size. */
export interface Sample {
  readonly itemCount: number;
  readonly value: number;
}

/** The fitted curve `intercept + slope * size ^ power` and its residuals. */
export interface LineFit {
  readonly intercept: number;
  readonly slope: number;
  readonly power: number;
  /** Measured minus fitted value, in percent of the measured one, for each sample in order. */
  readonly residualPercents: readonly number[];
}

const FULL_PERCENT = 100;

/**
 * Fits a line that minimises the relative residuals, so that small sizes weigh as much as large ones.
 * @param samples - At least two samples with different sizes and nonzero values.
 * @param power - Exponent of the size; 1 for a straight line.
 */
export function fitLine(samples: readonly Sample[], power = 1): LineFit {
  const points = samples.map(({itemCount, value}) => ({
    x: itemCount ** power,
    y: value,
    weight: value ** -2,
  }));
  const total = getSum(points.map(({weight}) => weight));
  const meanX = getSum(points.map(({x, weight}) => x * weight)) / total;
  const meanY = getSum(points.map(({y, weight}) => y * weight)) / total;
  const spread = getSum(points.map(({x, weight}) => weight * (x - meanX) ** 2));
  const covariance = getSum(points.map(({x, y, weight}) => weight * (x - meanX) * (y - meanY)));
  const slope = covariance / spread;
  const intercept = meanY - slope * meanX;
  const residualPercents = points.map(
    ({x, y}) => ((y - (intercept + slope * x)) / y) * FULL_PERCENT,
  );
  return {intercept, slope, power, residualPercents};
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}
