/** Records what a failed attempt shows about its backend server: a stall, a crash or a failed connection. */
import type {BackendServer, Incident} from '../blackboard/index.js';
import type {AttemptFailureKind} from '../controllers/retry/index.js';
import type {HandlerContext} from './RequestContext.js';

/** Time for which peers treat a backend server that stalled as cold. */
const COLD_INCIDENT_MS = 5_000;

/**
 * Records the failure of an attempt. After a broken connection it probes the backend server, to distinguish a lost
 * connection from a crash. Resolves when a crash or stall was reported to the peers, so that they know of it before the
 * next attempt.
 * @param context - Shared parts of the entry.
 * @param server - Backend server of the failed attempt.
 * @param failure - Kind of failure.
 */
export async function recordServerFailure(
  context: HandlerContext,
  server: BackendServer,
  failure: AttemptFailureKind,
): Promise<void> {
  const {tracker, engine, metrics} = context;
  if (failure === 'silent') engine.renewConnections(server);
  if (failure === 'silent' && tracker.addStall(server.instanceId)) {
    metrics.addCount('server.silent', {service: server.service});
    await context.reportIncidents([createColdIncident(context, server)]);
  }
  if (failure === 'not-connected') tracker.markDown(server.instanceId);
  if (failure !== 'broken') return;
  if (await engine.isAlive(server)) return;
  await recordCrash(context, server);
}

/**
 * Records a crash. It counts as evidence against the requests that were running on the server, unless the server wasn't
 * live or was about to stop anyway.
 */
async function recordCrash(context: HandlerContext, server: BackendServer): Promise<void> {
  const {tracker, metrics, quarantine, runningAttempts, blackboard, getNowMs, reportIncidents} =
    context;
  const {instanceId, failureDomain} = server;
  tracker.markDown(instanceId);
  metrics.addCount('server.crashes', {service: server.service});
  const {servers} = blackboard.getSection('backendServers');
  const registered = servers.find(candidate => candidate.instanceId === instanceId);
  if (registered?.state !== 'live' || registered.leavingAtMs !== undefined) return;
  const incidents = quarantine.addCrash({instanceId, failureDomain, atMs: getNowMs()});
  runningAttempts.stopSuspects();
  if (incidents.length > 0) await reportIncidents(incidents);
}

function createColdIncident(context: HandlerContext, server: BackendServer): Incident {
  const nowMs = context.getNowMs();
  return {
    kind: 'cold-server',
    subject: server.instanceId,
    service: server.service,
    reporter: context.ownInstanceId,
    observedAtMs: nowMs,
    expiresAtMs: nowMs + COLD_INCIDENT_MS,
  };
}
