/** Base error class, which carries a human-readable message and a machine-readable kind. */
import ModernError, {type InstanceOptions} from 'modern-errors';
import {getErrorResponseRule, type ErrorKind, type RunState} from './ErrorKind.js';

/** Kind of a `ServingError`, and overrides of the defaults for that kind. */
export interface ServingErrorOptions {
  /** Determines the HTTP status, and the defaults for `run` and `retryAfterMs`. */
  readonly kind: ErrorKind;
  /** Whether the request was executed; undefined for the default of the kind. */
  readonly run?: RunState;
  /** Delay after which a retry may succeed; undefined for the default of the kind. */
  readonly retryAfterMs?: number;
  /** The error or value that caused this error. */
  readonly cause?: unknown;
}

/** Error with a kind that determines its HTTP response: `new ServingError('no such path: /x', {kind: 'not-found'})`. */
export const ServingError = ModernError.subclass('ServingError', {
  custom: class extends ModernError {
    readonly kind: ErrorKind;
    readonly run: RunState;
    /** Whether `run` was set explicitly for this request, rather than taken from the default of the kind. */
    readonly hasExplicitRun: boolean;
    readonly retryAfterMs: number | undefined;

    /**
     * @param message - Human-readable message; if a value is invalid, it includes that value.
     * @param options - Kind (default `internal`) and overrides of its defaults.
     */
    constructor(message: string, options?: InstanceOptions & Partial<ServingErrorOptions>) {
      // The cause isn't passed on, because modern-errors would prepend its message to this one.
      super(message);
      if (options?.cause !== undefined) this.cause = options.cause;
      this.kind = options?.kind ?? 'internal';
      const rule = getErrorResponseRule(this.kind);
      this.run = options?.run ?? rule.run;
      this.hasExplicitRun = options?.run !== undefined;
      this.retryAfterMs = options?.retryAfterMs ?? rule.retryAfterMs;
    }
  },
});

/** Type of the instances of the `ServingError` class. */
export type ServingError = InstanceType<typeof ServingError>;

/** Returns a `ServingError` unchanged, and wraps any other value in one of kind `internal`. */
export function toServingError(error: unknown): ServingError {
  if (error instanceof ServingError) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new ServingError(message, {kind: 'internal', cause: error});
}
