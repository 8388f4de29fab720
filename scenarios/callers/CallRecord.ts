/** What a caller saw of its own call; verdicts are read from it. */

/** One answer, refusal or broken connection. */
export interface CallAttempt {
  readonly entryUrl: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Whether a connection stood; without one nothing can have been accepted. */
  readonly isConnected: boolean;
  /** Absent where the connection broke before an answer. */
  readonly status?: number;
  /** What a refusal said about whether the request ran. */
  readonly run?: string;
  readonly kind?: string;
  readonly requestId?: string;
  /** Body of a whole answer. */
  readonly text?: string;
  /** Tokens of a stream in the order of their arrival. */
  readonly tokens?: readonly string[];
  /** Time until the first token of a stream. */
  readonly firstTokenMs?: number;
  /** Whether the answer arrived to its end. */
  readonly isWhole: boolean;
}

/** One call with all its attempts. */
export interface CallRecord {
  readonly load: string;
  /** Text that stands in the body of this call and of no other. */
  readonly marker: string;
  /** What a right answer says; absent where any answer is right. */
  readonly expectedText?: string;
  readonly attempts: readonly CallAttempt[];
  /** Attempts of the repeat at another entry. */
  readonly repeatAttempts: readonly CallAttempt[];
}

/** Returns the attempt that was answered well. */
export function getAnswer(attempts: readonly CallAttempt[]): CallAttempt | undefined {
  return attempts.find(({status, isWhole}) => isWhole && status !== undefined && status < 300);
}
