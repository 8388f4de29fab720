/** Error of a failed attempt: a `ServingError` that also carries the kind of failure, which decides about retries. */
import type {AttemptFailureKind} from '../controllers/retry/index.js';
import {ServingError, toServingError, type ServingErrorOptions} from '../errors/index.js';

/** Options of an `AttemptError`. */
export interface AttemptErrorOptions extends ServingErrorOptions {
  /** How the attempt failed; `broken` if absent. */
  readonly failure: AttemptFailureKind;
}

/** Error of one attempt at one backend server. */
export const AttemptError = ServingError.subclass('AttemptError', {
  custom: class extends ServingError {
    readonly failure: AttemptFailureKind;

    /**
     * @param message - Human-readable; names the backend server.
     * @param options - Kinds of the error and of the failure, and the cause.
     */
    constructor(message: string, options?: Partial<AttemptErrorOptions>) {
      super(message, options);
      this.failure = options?.failure ?? 'broken';
    }
  },
});

/** Instance of `AttemptError`. */
export type AttemptError = InstanceType<typeof AttemptError>;

/** Returns an `AttemptError` unchanged, and wraps any other error as a `broken` attempt. */
export function toAttemptError(error: unknown): AttemptError {
  if (error instanceof AttemptError) return error;
  const {message} = toServingError(error);
  return new AttemptError(message, {kind: 'backend-failed', failure: 'broken', cause: error});
}
