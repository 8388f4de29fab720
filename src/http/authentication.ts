/** Authenticates requests by bearer key: those of workspaces, and those of the deployment's operators and daemons. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Configuration, Workspace} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';

const BEARER = /^Bearer +(\S+)$/i;

/**
 * Returns the workspace that the bearer key of a request belongs to.
 * @param request - Request with an `Authorization` header.
 * @param configuration - Configuration in force, with the SHA-256 digests of the keys.
 * @param nowMs - Unix time in milliseconds; expired keys are rejected.
 * @throws ServingError of kind `unauthorized` if the key is missing, unknown or expired.
 */
export function getWorkspaceOrThrow(
  request: IncomingMessage,
  configuration: Configuration,
  nowMs: number,
): Workspace {
  const digest = createHash('sha256').update(getBearerKeyOrThrow(request)).digest('hex');
  const workspace = configuration.workspaces.find(candidate =>
    candidate.keys.some(
      key => key.sha256 === digest && (key.notAfterMs === undefined || nowMs < key.notAfterMs),
    ),
  );
  if (!workspace)
    throw new ServingError('the bearer key is unknown or expired', {kind: 'unauthorized'});
  return workspace;
}

/**
 * Checks that the bearer key of a request is one of the deployment's keys. The digests are compared in constant time.
 * @param request - Request with an `Authorization` header.
 * @param deploymentKeys - Valid keys in clear text; two during a key rotation.
 * @throws ServingError of kind `unauthorized` if the key is missing or not valid.
 */
export function checkDeploymentKeyOrThrow(
  request: IncomingMessage,
  deploymentKeys: readonly string[],
): void {
  const digest = createHash('sha256').update(getBearerKeyOrThrow(request)).digest();
  const isValid = deploymentKeys.some(key =>
    timingSafeEqual(digest, createHash('sha256').update(key).digest()),
  );
  if (!isValid) throw new ServingError('the deployment key is not valid', {kind: 'unauthorized'});
}

function getBearerKeyOrThrow(request: IncomingMessage): string {
  const match = BEARER.exec(request.headers.authorization ?? '');
  if (!match) {
    throw new ServingError('the Authorization header has no bearer key', {kind: 'unauthorized'});
  }
  return match[1];
}
