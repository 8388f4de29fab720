/** Error kinds, and the HTTP response that a caller gets for each of them. */

/** Whether a backend server executed the request that failed or was refused. */
export type RunState = 'not-run' | 'unknown' | 'ran';

/** HTTP response for an error kind. */
export interface ErrorResponseRule {
  /** HTTP status code. */
  readonly status: number;
  /** Whether the request was executed, unless the error specifies it. */
  readonly run: RunState;
  /** Delay after which a retry may succeed; undefined if a retry can't succeed. */
  readonly retryAfterMs?: number;
}

const SHORT_RETRY_DELAY_MS = 1_000;
const LONG_RETRY_DELAY_MS = 5_000;

/** HTTP response for each error kind. `ErrorKind` is derived from this table, so new kinds are added only here. */
export const ERROR_RESPONSE_RULES = {
  'bad-request': {status: 400, run: 'not-run'},
  'idempotency-key-missing': {status: 400, run: 'not-run'},
  unauthorized: {status: 401, run: 'not-run'},
  forbidden: {status: 403, run: 'not-run'},
  'not-found': {status: 404, run: 'not-run'},
  'unknown-model': {status: 404, run: 'not-run'},
  'body-timeout': {status: 408, run: 'not-run'},
  'idempotency-key-reused': {status: 422, run: 'not-run'},
  'request-in-progress': {status: 409, run: 'unknown', retryAfterMs: SHORT_RETRY_DELAY_MS},
  'body-too-large': {status: 413, run: 'not-run'},
  'poison-quarantined': {status: 422, run: 'unknown'},
  'over-workspace-limit': {status: 429, run: 'not-run', retryAfterMs: SHORT_RETRY_DELAY_MS},
  overloaded: {status: 503, run: 'not-run', retryAfterMs: SHORT_RETRY_DELAY_MS},
  'deadline-unreachable': {status: 503, run: 'not-run', retryAfterMs: SHORT_RETRY_DELAY_MS},
  'no-backend-server': {status: 503, run: 'not-run', retryAfterMs: LONG_RETRY_DELAY_MS},
  'backend-failed': {status: 502, run: 'unknown', retryAfterMs: SHORT_RETRY_DELAY_MS},
  'backend-timeout': {status: 504, run: 'unknown', retryAfterMs: SHORT_RETRY_DELAY_MS},
  'outcome-unknown': {status: 409, run: 'unknown'},
  'log-unavailable': {status: 503, run: 'unknown', retryAfterMs: LONG_RETRY_DELAY_MS},
  'configuration-unknown': {status: 503, run: 'not-run', retryAfterMs: LONG_RETRY_DELAY_MS},
  stopping: {status: 503, run: 'not-run', retryAfterMs: SHORT_RETRY_DELAY_MS},
  conflict: {status: 409, run: 'not-run'},
  'invalid-settings': {status: 500, run: 'not-run'},
  'invalid-record': {status: 500, run: 'not-run'},
  internal: {status: 500, run: 'unknown', retryAfterMs: SHORT_RETRY_DELAY_MS},
} as const satisfies Readonly<Record<string, ErrorResponseRule>>;

/** Key of `ERROR_RESPONSE_RULES`. */
export type ErrorKind = keyof typeof ERROR_RESPONSE_RULES;

/** Returns the HTTP response for an error kind. */
export function getErrorResponseRule(kind: ErrorKind): ErrorResponseRule {
  return ERROR_RESPONSE_RULES[kind];
}
