/** Definition of a quantity that is measured at several sizes. */

/** A quantity, the sizes at which it is measured, and the function that measures it. */
export interface SlopeDefinition {
  /** Id by which capacity rows refer to the quantity. */
  readonly id: string;
  readonly description: string;
  /** Plural noun for the items that the size counts. */
  readonly sizeUnit: string;
  readonly valueUnit: 'us' | 'bytes';
  /** Exponent of the size in the fitted curve; 1 if undefined. */
  readonly power?: number;
  /** Sizes to measure; a test requires at least four. */
  readonly sizes: readonly number[];
  /** Measures the quantity, in `valueUnit`, for a number of items. */
  readonly measure: (itemCount: number) => number | Promise<number>;
}
