/** The error class of the project: a message for people and a kind for programs. */
import ModernError, {type InstanceOptions} from 'modern-errors';
import {getAnswerRule, type ErrorKind, type RunState} from './ErrorKind.js';

/** Options of a `ServingError`. */
export interface ServingErrorOptions {
  /** Kind from the closed list. */
  readonly kind: ErrorKind;
  /** Overrides what the kind says about whether the request was executed. */
  readonly run?: RunState;
  /** Overrides the kind's retry hint. */
  readonly retryAfterMs?: number;
  /** Error that caused this one. */
  readonly cause?: unknown;
}

/** Error with one of the closed list of kinds: `new ServingError('no such path: /x', {kind: 'not-found'})`. */
export const ServingError = ModernError.subclass('ServingError', {
  custom: class extends ModernError {
    readonly kind: ErrorKind;
    readonly run: RunState;
    /** Whether the thrower knows of this request what `run` says, beyond the kind's rule. */
    readonly isRunKnown: boolean;
    readonly retryAfterMs: number | undefined;

    /**
     * @param message - Text for people; names the offending value.
     * @param options - The kind, and what differs from the kind's rule.
     */
    constructor(message: string, options?: InstanceOptions & Partial<ServingErrorOptions>) {
      // The message stays as it is: modern-errors would put the cause's message before it.
      super(message);
      if (options?.cause !== undefined) this.cause = options.cause;
      this.kind = options?.kind ?? 'internal';
      const rule = getAnswerRule(this.kind);
      this.run = options?.run ?? rule.run;
      this.isRunKnown = options?.run !== undefined;
      this.retryAfterMs = options?.retryAfterMs ?? rule.retryAfterMs;
    }
  },
});

/** Instance of `ServingError`. */
export type ServingError = InstanceType<typeof ServingError>;

/** Returns the error itself where it is a `ServingError`, else one of kind `internal` caused by it. */
export function toServingError(error: unknown): ServingError {
  if (error instanceof ServingError) return error;
  const message = error instanceof Error ? error.message : String(error);
  return new ServingError(message, {kind: 'internal', cause: error});
}
