/** Calls as observed by the caller; scenarios check their expectations against these records. */

/** One attempt of a call at an entry: a response, a refusal or an aborted connection. */
export interface CallAttempt {
  readonly entryUrl: string;
  readonly startedAtMs: number;
  readonly endedAtMs: number;
  /** Whether a connection was established; if not, the entry can't have accepted the request. */
  readonly isConnected: boolean;
  /** HTTP status; absent if the connection aborted before a response. */
  readonly status?: number;
  /** Field `run` of a refusal: whether the request ran. */
  readonly run?: string;
  readonly kind?: string;
  readonly requestId?: string;
  /** Body of a response that was not streamed. */
  readonly text?: string;
  /** Tokens of a streamed response in order of arrival, from all entries that sent a part of it. */
  readonly tokens?: readonly string[];
  /** Milliseconds from the start of the attempt to the first token of a streamed response. */
  readonly firstTokenMs?: number;
  /** Whether the response was received completely. */
  readonly isWhole: boolean;
}

/** One call with all its attempts, stored in `calls.json` if the scenario fails. */
export interface CallRecord {
  readonly load: string;
  /** Text in the body that is unique to this call. */
  readonly marker: string;
  /** Text of the correct response; absent if any response is correct. */
  readonly expectedText?: string;
  readonly attempts: readonly CallAttempt[];
  /** Attempts of the repeated call, which starts at another entry. */
  readonly repeatAttempts: readonly CallAttempt[];
}

/** Returns the first attempt with a complete response and a status below 300; undefined if there is none. */
export function getSuccessfulAttempt(attempts: readonly CallAttempt[]): CallAttempt | undefined {
  return attempts.find(({status, isWhole}) => isWhole && status !== undefined && status < 300);
}
