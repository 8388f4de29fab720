/** Keeps retries to a share of first tries, so that they never multiply an overload. */

/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Time over which first tries and retries are counted. */
  readonly windowMs: number;
  /** Retries allowed per hundred first tries. */
  readonly sharePercent: number;
  /** Retries that are allowed in a window whatever the number of first tries. */
  readonly minRetries: number;
}

/** The default budget: a fifth of the first tries of ten seconds. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  windowMs: 10_000,
  sharePercent: 20,
  minRetries: 10,
};

const SLICES_PER_WINDOW = 10;
const PERCENT = 100;

interface Slice {
  readonly number: number;
  firstTries: number;
  retries: number;
}

/** Counts tries in slices of a sliding window. */
export class RetryBudget {
  private readonly options: RetryBudgetOptions;
  private slices: Slice[] = [];

  constructor(options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.options = options;
  }

  /**
   * Notes a first try.
   * @param nowMs - Present time.
   */
  addFirstTry(nowMs: number): void {
    this.getSlice(nowMs).firstTries += 1;
  }

  /**
   * Returns whether a retry is within the budget.
   * @param nowMs - Present time.
   */
  hasRetry(nowMs: number): boolean {
    const {sharePercent, minRetries} = this.options;
    this.dropOldSlices(nowMs);
    const firstTries = this.slices.reduce((sum, slice) => sum + slice.firstTries, 0);
    const retries = this.slices.reduce((sum, slice) => sum + slice.retries, 0);
    return retries < Math.max(minRetries, (firstTries * sharePercent) / PERCENT);
  }

  /**
   * Notes a retry.
   * @param nowMs - Present time.
   */
  addRetry(nowMs: number): void {
    this.getSlice(nowMs).retries += 1;
  }

  private getSlice(nowMs: number): Slice {
    const number = this.getSliceNumber(nowMs);
    const last = this.slices.at(-1);
    if (last && last.number >= number) return last;
    const slice = {number, firstTries: 0, retries: 0};
    this.slices.push(slice);
    return slice;
  }

  private dropOldSlices(nowMs: number): void {
    const oldestNumber = this.getSliceNumber(nowMs) - SLICES_PER_WINDOW;
    this.slices = this.slices.filter(({number}) => number > oldestNumber);
  }

  private getSliceNumber(nowMs: number): number {
    return Math.floor((nowMs * SLICES_PER_WINDOW) / this.options.windowMs);
  }
}
