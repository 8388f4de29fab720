/** Tells whose request it is: a workspace by its bearer key, or the deployment's own operators and daemons. */
import {createHash, timingSafeEqual} from 'node:crypto';
import type {IncomingMessage} from 'node:http';
import type {Configuration, Workspace} from '../configuration/index.js';
import {ServingError} from '../errors/index.js';

const BEARER = /^Bearer +(\S+)$/i;

/**
 * Returns the workspace whose key a request carries.
 * @param request - The request.
 * @param configuration - Configuration in force.
 * @param nowMs - Present time.
 * @throws ServingError of kind `unauthorized`.
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
  if (!workspace) throw new ServingError('the bearer key is not known', {kind: 'unauthorized'});
  return workspace;
}

/**
 * Checks that a request carries one of the deployment's keys.
 * @param request - The request.
 * @param deploymentKeys - Keys that are valid now; two while they are rotated.
 * @throws ServingError of kind `unauthorized`.
 */
export function checkDeploymentKey(
  request: IncomingMessage,
  deploymentKeys: readonly string[],
): void {
  const given = createHash('sha256').update(getBearerKeyOrThrow(request)).digest();
  const isKnown = deploymentKeys.some(key =>
    timingSafeEqual(given, createHash('sha256').update(key).digest()),
  );
  if (!isKnown) throw new ServingError('the deployment key is not known', {kind: 'unauthorized'});
}

function getBearerKeyOrThrow(request: IncomingMessage): string {
  const match = BEARER.exec(request.headers.authorization ?? '');
  if (!match) {
    throw new ServingError('the Authorization header has no bearer key', {kind: 'unauthorized'});
  }
  return match[1];
}
