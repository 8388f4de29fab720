/** A line through measured points by least squares. */

/** A measured point. */
export interface Sample {
  readonly size: number;
  readonly value: number;
}

/** A line through samples, and how far they lie from it. */
export interface LineFit {
  readonly intercept: number;
  readonly slope: number;
  /** Measured minus fitted value of each sample, in order. */
  readonly residuals: readonly number[];
  /** Largest residual as a part of the largest measured value. */
  readonly worstResidualPercent: number;
}

const FULL_PERCENT = 100;

/**
 * Fits a line.
 * @param samples - At least two samples of different sizes.
 */
export function fitLine(samples: readonly Sample[]): LineFit {
  const meanSize = getMean(samples.map(({size}) => size));
  const meanValue = getMean(samples.map(({value}) => value));
  const spread = getSum(samples.map(({size}) => (size - meanSize) ** 2));
  const covariance = getSum(
    samples.map(({size, value}) => (size - meanSize) * (value - meanValue)),
  );
  const slope = covariance / spread;
  const intercept = meanValue - slope * meanSize;
  const residuals = samples.map(({size, value}) => value - (intercept + slope * size));
  const largestValue = Math.max(...samples.map(({value}) => Math.abs(value)));
  const largestResidual = Math.max(...residuals.map(Math.abs));
  return {
    intercept,
    slope,
    residuals,
    worstResidualPercent: (largestResidual / largestValue) * FULL_PERCENT,
  };
}

function getSum(values: readonly number[]): number {
  return values.reduce((sum, value) => sum + value, 0);
}

function getMean(values: readonly number[]): number {
  return getSum(values) / values.length;
}
