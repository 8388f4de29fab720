/** One measured quantity as a function of a size. */

/** What is measured, at which sizes. */
export interface SlopeDefinition {
  /** Short id that the worked-out rows name. */
  readonly id: string;
  readonly description: string;
  /** What the size counts. */
  readonly sizeUnit: string;
  readonly valueUnit: 'us' | 'bytes';
  /** Power of the size that the quantity follows; 1 where absent. */
  readonly power?: number;
  /** At least four. */
  readonly sizes: readonly number[];
  /** Returns the quantity at a number of items. */
  readonly measure: (itemCount: number) => number | Promise<number>;
}
