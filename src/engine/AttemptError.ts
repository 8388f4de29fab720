/** The error of a failed try: a serving error that says how the try failed. */
import type {AttemptFailureKind} from '../controllers/retry/index.js';
import {ServingError, toServingError, type ServingErrorOptions} from '../errors/index.js';

/** Options of an `AttemptError`. */
export interface AttemptErrorOptions extends ServingErrorOptions {
  /** How the try failed. */
  readonly failure: AttemptFailureKind;
}

/** Error of one try at one backend server. */
export const AttemptError = ServingError.subclass('AttemptError', {
  custom: class extends ServingError {
    readonly failure: AttemptFailureKind;

    /**
     * @param message - Text for people; names the backend server.
     * @param options - Kind of error and of failure.
     */
    constructor(message: string, options?: Partial<AttemptErrorOptions>) {
      super(message, options);
      this.failure = options?.failure ?? 'broken';
    }
  },
});

/** Instance of `AttemptError`. */
export type AttemptError = InstanceType<typeof AttemptError>;

/** Returns the error itself where it is an `AttemptError`, else one of a broken try caused by it. */
export function toAttemptError(error: unknown): AttemptError {
  if (error instanceof AttemptError) return error;
  const {message} = toServingError(error);
  return new AttemptError(message, {kind: 'backend-failed', failure: 'broken', cause: error});
}
