/** Chooses the backend server of a request by its expected time to the first token. */
import type {BackendServer} from '../../blackboard/index.js';
import type {Service} from '../../configuration/index.js';
import type {ErrorKind} from '../../errors/index.js';
import {getWarmthLimit} from '../warmth/index.js';
import {getExpectedFirstTokenMs} from './firstTokenTime.js';
import type {RoutingDecision, RoutingRequest, RoutingView} from './RoutingTypes.js';
import {getVersionShares, type VersionShare} from './versionShares.js';

/**
 * Chooses a backend server for a request.
 *
 * The version is drawn by its share first, so that a version gets no more than its share when the others are busy.
 * @param view - What the entry knows.
 * @param request - What is known of the request.
 * @param nowMs - Present time.
 * @param random - Returns a number from 0 up to 1.
 */
export function chooseBackendServer(
  view: RoutingView,
  request: RoutingRequest,
  nowMs: number,
  random: () => number,
): RoutingDecision {
  const service = view.configuration.services.find(({name}) => name === request.service);
  if (!service) return refuse('not-found', `no service "${request.service}"`);
  const live = getLiveServers(view, service);
  const shares = getVersionShares(service, view.moves, view.incidents, nowMs);
  const versions = shares.filter(share => live.some(({version}) => version === share.version));
  const version = drawVersion(versions, random);
  if (version === undefined) {
    return refuse('no-backend-server', `no backend server of "${service.name}" takes new work`);
  }
  const untried = live
    .filter(server => server.version === version)
    .filter(({instanceId}) => !request.excludedInstanceIds.has(instanceId));
  if (untried.length === 0) {
    return refuse('no-backend-server', `every backend server of "${service.name}" was tried`);
  }
  const free = untried.filter(server => hasFreeSlot(view, service, server));
  if (free.length === 0) {
    return refuse('overloaded', `every backend server of "${service.name}" is at its limit`);
  }
  return chooseFastest(view, request, free, nowMs);
}

function refuse(errorKind: ErrorKind, reason: string): RoutingDecision {
  return {kind: 'refused', errorKind, reason};
}

function getLiveServers(view: RoutingView, service: Service): readonly BackendServer[] {
  const outDomains = new Set(
    view.failureDomains.filter(({state}) => state === 'out').map(({name}) => name),
  );
  const leaving = new Set(
    view.incidents.filter(({kind}) => kind === 'leaving-server').map(({subject}) => subject),
  );
  return view.servers.filter(
    server =>
      server.service === service.name &&
      server.state === 'live' &&
      server.leavingAtMs === undefined &&
      !leaving.has(server.instanceId) &&
      !outDomains.has(server.failureDomain),
  );
}

function drawVersion(shares: readonly VersionShare[], random: () => number): string | undefined {
  const totalPercent = shares.reduce((sum, {sharePercent}) => sum + sharePercent, 0);
  let drawnPercent = random() * totalPercent;
  for (const {version, sharePercent} of shares) {
    drawnPercent -= sharePercent;
    if (drawnPercent < 0) return version;
  }
  return shares.at(-1)?.version;
}

function hasFreeSlot(view: RoutingView, service: Service, server: BackendServer): boolean {
  const {entries, ownInstanceId} = view;
  const limit = getWarmthLimit({server, service, entries, ownInstanceId});
  return view.getOpenRequests(server.instanceId) < limit;
}

function chooseFastest(
  view: RoutingView,
  request: RoutingRequest,
  servers: readonly BackendServer[],
  nowMs: number,
): RoutingDecision {
  const [best] = servers
    .map(server => ({server, expectedFirstTokenMs: getScoreMs(view, request, server)}))
    .sort((a, b) => a.expectedFirstTokenMs - b.expectedFirstTokenMs);
  if (nowMs + best.expectedFirstTokenMs > request.deadlineAtMs) {
    const lateMs = Math.ceil(nowMs + best.expectedFirstTokenMs - request.deadlineAtMs);
    return refuse('deadline-unreachable', `first token would come ${lateMs} ms past the deadline`);
  }
  return {kind: 'chosen', ...best};
}

function getScoreMs(view: RoutingView, request: RoutingRequest, server: BackendServer): number {
  const cachedTokens = view.getCachedTokens(server.instanceId, request.blockHashes);
  return getExpectedFirstTokenMs({
    server,
    ownFailureDomain: view.ownFailureDomain,
    openRequests: view.getOpenRequests(server.instanceId),
    uncachedTokens: Math.max(0, request.promptTokens - cachedTokens),
  });
}
