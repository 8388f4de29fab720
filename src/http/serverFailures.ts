/** What a failed try says of its backend server. */
import type {BackendServer, Incident} from '../blackboard/index.js';
import type {AttemptFailureKind} from '../controllers/retry/index.js';
import type {HandlerContext} from './RequestContext.js';

/** Time for which peers hold a backend server for cold. */
const COLD_INCIDENT_MS = 5_000;

/**
 * Tells a lost connection from a dead backend server, and spreads what a death or a silence means before the next try.
 * @param context - Parts of the daemon.
 * @param server - Where the try failed.
 * @param failure - How it failed.
 */
export async function noteServerFailure(
  context: HandlerContext,
  server: BackendServer,
  failure: AttemptFailureKind,
): Promise<void> {
  const {tracker, engine, metrics} = context;
  if (failure === 'silent') engine.renewConnections(server);
  if (failure === 'silent' && tracker.addSilence(server.instanceId)) {
    metrics.addCount('server.silent', {service: server.service});
    await context.reportIncidents([createColdIncident(context, server)]);
  }
  if (failure === 'not-connected') tracker.markDown(server.instanceId);
  if (failure !== 'broken') return;
  if (await engine.isAlive(server)) return;
  await noteCrash(context, server);
}

async function noteCrash(context: HandlerContext, server: BackendServer): Promise<void> {
  const {tracker, metrics, quarantine, tries, blackboard, getNowMs, reportIncidents} = context;
  const {instanceId, failureDomain} = server;
  tracker.markDown(instanceId);
  metrics.addCount('server.crashes', {service: server.service});
  const {servers} = blackboard.getSection('backendServers');
  const known = servers.find(candidate => candidate.instanceId === instanceId);
  if (known?.state !== 'live' || known.leavingAtMs !== undefined) return;
  const incidents = quarantine.addCrash({instanceId, failureDomain, atMs: getNowMs()});
  tries.stopSuspects();
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
