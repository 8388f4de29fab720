/** Retry budget: caps retries at a percentage of first attempts, so that retries can't amplify an overload. */

/** Options of a `RetryBudget`. */
export interface RetryBudgetOptions {
  /** Length of the sliding window in which first attempts and retries are counted. */
  readonly windowMs: number;
  /** Retries allowed per hundred first attempts. */
  readonly sharePercent: number;
  /** Retries allowed in a window even if there are few or no first attempts. */
  readonly minRetries: number;
}

/** Default budget: retries of up to 20 % of the first attempts in the last ten seconds, and at least 10. */
export const DEFAULT_RETRY_BUDGET: RetryBudgetOptions = {
  windowMs: 10_000,
  sharePercent: 20,
  minRetries: 10,
};

const SLICES_PER_WINDOW = 10;
const PERCENT = 100;

/** Counts of one slice of the window. */
interface Slice {
  /** Index of the slice: its start time in units of the slice length. */
  readonly number: number;
  firstAttempts: number;
  retries: number;
}

/** Counts first attempts and retries in a sliding window that advances in slices of a tenth of its length. */
export class RetryBudget {
  private readonly options: RetryBudgetOptions;
  private slices: Slice[] = [];

  constructor(options: RetryBudgetOptions = DEFAULT_RETRY_BUDGET) {
    this.options = options;
  }

  /**
   * Records the first attempt of a request.
   * @param nowMs - Current time; the same clock must be used for all calls.
   */
  recordFirstAttempt(nowMs: number): void {
    this.getSlice(nowMs).firstAttempts += 1;
  }

  /**
   * Returns whether the budget allows a retry. The retry itself must be recorded with `recordRetry`.
   * @param nowMs - Current time.
   * @param minRetries - Takes the place of the option, where it depends on how many processes share a minimum.
   */
  canRetry(nowMs: number, minRetries = this.options.minRetries): boolean {
    const {sharePercent} = this.options;
    this.dropOldSlices(nowMs);
    const firstAttempts = this.slices.reduce((sum, slice) => sum + slice.firstAttempts, 0);
    const retries = this.slices.reduce((sum, slice) => sum + slice.retries, 0);
    return retries < Math.max(minRetries, (firstAttempts * sharePercent) / PERCENT);
  }

  /** Records a retry. */
  recordRetry(nowMs: number): void {
    this.getSlice(nowMs).retries += 1;
  }

  private getSlice(nowMs: number): Slice {
    const number = this.getSliceNumber(nowMs);
    const last = this.slices.at(-1);
    if (last && last.number >= number) return last;
    const slice = {number, firstAttempts: 0, retries: 0};
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
