/** Tells failures of tries apart by what backend servers answer and how connections break. */
import type {BackendServer} from '../blackboard/index.js';
import type {AttemptFailureKind} from '../controllers/retry/index.js';
import {AttemptError} from './AttemptError.js';

const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;
/** Errors that come before a connection stands, so that nothing can have been sent. */
const UNCONNECTED_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Returns whether an error shows that no connection stood.
 * @param error - What a call threw.
 */
export function isUnconnected(error: unknown): boolean {
  const code = (error as {readonly code?: unknown}).code;
  return typeof code === 'string' && UNCONNECTED_ERROR_CODES.has(code);
}

/**
 * Returns the error of a try that a backend server answered with a failure.
 * @param server - The backend server.
 * @param status - HTTP status.
 * @param text - Body of the answer.
 */
export function createStatusError(
  server: BackendServer,
  status: number,
  text: string,
): AttemptError {
  const failure = getStatusFailure(status);
  return new AttemptError(
    `backend server ${server.instanceId} answered ${status}: ${text.slice(0, 200)}`,
    {
      failure,
      kind: failure === 'rejected' ? 'bad-request' : 'backend-failed',
      run: failure === 'refused' ? 'not-run' : 'unknown',
    },
  );
}

/** A model that isn't served here any more is served elsewhere. */
function getStatusFailure(status: number): AttemptFailureKind {
  if ([STATUS_NOT_FOUND, STATUS_TOO_MANY, STATUS_UNAVAILABLE].includes(status)) return 'refused';
  return status >= FIRST_SERVER_ERROR ? 'failed' : 'rejected';
}

/**
 * Returns the error of a try whose connection broke or never stood.
 * @param server - The backend server.
 * @param cause - What was thrown.
 */
export function createBrokenError(server: BackendServer, cause: unknown): AttemptError {
  if (cause instanceof AttemptError) return cause;
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new AttemptError(`backend server ${server.instanceId} failed: ${reason}`, {
    kind: 'backend-failed',
    failure: isUnconnected(cause) ? 'not-connected' : 'broken',
    cause,
  });
}
