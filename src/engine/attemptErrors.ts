/** Classifies failures of attempts by HTTP status and by connection error. */
import type {BackendServer} from '../blackboard/index.js';
import type {AttemptFailureKind} from '../controllers/retry/index.js';
import {AttemptError} from './AttemptError.js';

const STATUS_NOT_FOUND = 404;
const STATUS_TOO_MANY = 429;
const STATUS_UNAVAILABLE = 503;
const FIRST_SERVER_ERROR = 500;
/** Error codes raised before a connection is established, so that nothing was sent. */
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/**
 * Returns whether an error shows that no connection was established, so that the server didn't get the request.
 * @param error - Error that a call threw.
 */
export function isConnectError(error: unknown): boolean {
  const code = (error as {readonly code?: unknown}).code;
  return typeof code === 'string' && CONNECT_ERROR_CODES.has(code);
}

/**
 * Returns the error of an attempt for a response with an error status.
 * @param server - Backend server that responded.
 * @param status - HTTP status.
 * @param text - Body of the response; its first 200 characters go into the message.
 */
export function createStatusError(
  server: BackendServer,
  status: number,
  text: string,
): AttemptError {
  const failure = getStatusFailure(status);
  return new AttemptError(
    `backend server ${server.instanceId} responded with status ${status}: ${text.slice(0, 200)}`,
    {
      failure,
      kind: failure === 'rejected' ? 'bad-request' : 'backend-failed',
      run: failure === 'refused' ? 'not-run' : 'unknown',
    },
  );
}

/** A 404 counts as `refused`, not `rejected`: other servers may still serve the model. */
function getStatusFailure(status: number): AttemptFailureKind {
  if ([STATUS_NOT_FOUND, STATUS_TOO_MANY, STATUS_UNAVAILABLE].includes(status)) return 'refused';
  return status >= FIRST_SERVER_ERROR ? 'failed' : 'rejected';
}

/**
 * Returns the error of an attempt whose connection broke or couldn't be established.
 * @param server - Backend server that was called.
 * @param cause - Error that was thrown; an `AttemptError` is returned unchanged.
 */
export function createBrokenError(server: BackendServer, cause: unknown): AttemptError {
  if (cause instanceof AttemptError) return cause;
  const reason = cause instanceof Error ? cause.message : String(cause);
  return new AttemptError(`backend server ${server.instanceId} failed: ${reason}`, {
    kind: 'backend-failed',
    failure: isConnectError(cause) ? 'not-connected' : 'broken',
    cause,
  });
}
