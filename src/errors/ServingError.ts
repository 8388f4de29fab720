/** The error class of the project: a message for people and a kind for programs. */
import ModernError from 'modern-errors';
import {getAnswerRule, type ErrorKind, type RunState} from './ErrorKind.js';

/** Options of a `ServingError`. */
export interface ServingErrorOptions {
  /** Overrides what the kind says about whether the request was executed. */
  readonly run?: RunState;
  /** Overrides the kind's retry hint. */
  readonly retryAfterMs?: number;
  /** Error that caused this one. */
  readonly cause?: unknown;
}

/** Error with one of the closed list of kinds. */
export class ServingError extends ModernError {
  readonly kind: ErrorKind;
  readonly run: RunState;
  readonly retryAfterMs: number | undefined;

  /**
   * @param kind - Kind from the closed list.
   * @param message - Text for people; names the offending value.
   * @param options - What differs from the kind's rule.
   */
  constructor(kind: ErrorKind, message: string, options: ServingErrorOptions = {}) {
    super(message, {cause: options.cause});
    const rule = getAnswerRule(kind);
    this.name = 'ServingError';
    this.kind = kind;
    this.run = options.run ?? rule.run;
    this.retryAfterMs = options.retryAfterMs ?? rule.retryAfterMs;
  }
}

/** Returns the error itself where it is a `ServingError`, else one of kind `internal` caused by it. */
export function toServingError(error: unknown): ServingError {
  if (error instanceof ServingError) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new ServingError('internal', message, {cause: error});
}
