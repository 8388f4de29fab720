/** The closed list of error kinds and the answer that each one gives to a caller. */

/** What a refusal or failure says about whether the request was executed by a backend server. */
export type RunState = 'not-run' | 'unknown' | 'ran';

/** How an error kind is answered over HTTP. */
export interface AnswerRule {
  /** HTTP status. */
  readonly status: number;
  /** What the answer says unless the error itself knows better. */
  readonly run: RunState;
  /** Time after which a repeat may succeed; absent where a repeat can't help. */
  readonly retryAfterMs?: number;
}

const RETRY_SOON_MS = 1_000;
const RETRY_LATER_MS = 5_000;

/** The table from kind to answer. A kind is added here and nowhere else. */
export const ANSWER_RULES = {
  'bad-request': {status: 400, run: 'not-run'},
  'idempotency-key-missing': {status: 400, run: 'not-run'},
  unauthorized: {status: 401, run: 'not-run'},
  forbidden: {status: 403, run: 'not-run'},
  'not-found': {status: 404, run: 'not-run'},
  'unknown-model': {status: 404, run: 'not-run'},
  'body-timeout': {status: 408, run: 'not-run'},
  'idempotency-key-reused': {status: 422, run: 'not-run'},
  'request-in-progress': {status: 409, run: 'unknown', retryAfterMs: RETRY_SOON_MS},
  'body-too-large': {status: 413, run: 'not-run'},
  'poison-quarantined': {status: 422, run: 'unknown'},
  'over-workspace-limit': {status: 429, run: 'not-run', retryAfterMs: RETRY_SOON_MS},
  overloaded: {status: 503, run: 'not-run', retryAfterMs: RETRY_SOON_MS},
  'deadline-unreachable': {status: 503, run: 'not-run', retryAfterMs: RETRY_SOON_MS},
  'no-backend-server': {status: 503, run: 'not-run', retryAfterMs: RETRY_LATER_MS},
  'backend-failed': {status: 502, run: 'unknown', retryAfterMs: RETRY_SOON_MS},
  'backend-timeout': {status: 504, run: 'unknown', retryAfterMs: RETRY_SOON_MS},
  'outcome-unknown': {status: 409, run: 'unknown'},
  'log-unavailable': {status: 503, run: 'unknown', retryAfterMs: RETRY_LATER_MS},
  'configuration-unknown': {status: 503, run: 'not-run', retryAfterMs: RETRY_LATER_MS},
  stopping: {status: 503, run: 'not-run', retryAfterMs: RETRY_SOON_MS},
  conflict: {status: 409, run: 'not-run'},
  'invalid-settings': {status: 500, run: 'not-run'},
  'invalid-record': {status: 500, run: 'not-run'},
  internal: {status: 500, run: 'unknown', retryAfterMs: RETRY_SOON_MS},
} as const satisfies Readonly<Record<string, AnswerRule>>;

/** One of the closed list of error kinds. */
export type ErrorKind = keyof typeof ANSWER_RULES;

/** Returns the rule by which an error kind is answered. */
export function getAnswerRule(kind: ErrorKind): AnswerRule {
  return ANSWER_RULES[kind];
}
