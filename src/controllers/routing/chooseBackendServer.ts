/** Default routing policy: the backend server with the shortest predicted time to the first token. */
import type {BackendServer} from '../../blackboard/index.js';
import type {Service, ServiceVersion} from '../../configuration/index.js';
import type {ErrorKind} from '../../errors/index.js';
import {getWarmthLimit} from '../warmth/index.js';
import {getExpectedFirstTokenMs} from './firstTokenTime.js';
import type {RoutingDecision, RoutingRequest, RoutingView} from './RoutingTypes.js';
import {getAllowedServers} from './allowedServers.js';
import {getAvoidedDomains} from './avoidedDomains.js';
import {getUsableVersions} from './usableVersions.js';

/**
 * Chooses a backend server for a request.
 *
 * The version is drawn first, weighted by its share, so that a version gets no more than its share when the servers of
 * the others are busy. Servers in a returning failure domain are candidates for the domain's percentage of the
 * requests, and for the other requests only if no other server can take them.
 * @param random - Returns a uniform random number in [0, 1).
 */
export function chooseBackendServer(
  view: RoutingView,
  request: RoutingRequest,
  nowMs: number,
  random: () => number,
): RoutingDecision {
  const service = view.configuration.services.find(({name}) => name === request.service);
  if (!service) return refuse('not-found', `no service "${request.service}"`);
  const allowed = getAllowedServers(view, service.name, nowMs);
  const shares = getUsableVersions(service, view.moves, view.incidents, nowMs);
  const versions = shares.filter(({name}) => allowed.some(({version}) => version === name));
  const version = drawVersion(versions, random);
  if (version === undefined) {
    return refuse(
      'no-backend-server',
      `no backend server of "${service.name}" accepts new requests`,
    );
  }
  const untried = allowed
    .filter(server => server.version === version)
    .filter(({instanceId}) => !request.excludedInstanceIds.has(instanceId));
  if (untried.length === 0) {
    return refuse('no-backend-server', `every backend server of "${service.name}" was attempted`);
  }
  const available = untried.filter(server => hasCapacity(view, service, server));
  if (available.length === 0) {
    return refuse(
      'overloaded',
      `every backend server of "${service.name}" is at its concurrency limit`,
    );
  }
  return chooseOutsideAvoidedDomains(view, request, available, nowMs);
}

/** Chooses outside the avoided failure domains if possible; uses these too rather than refuse the request. */
function chooseOutsideAvoidedDomains(
  view: RoutingView,
  request: RoutingRequest,
  available: readonly BackendServer[],
  nowMs: number,
): RoutingDecision {
  const avoided = getAvoidedDomains(view.failureDomains, request, nowMs);
  if (avoided.size === 0) return chooseFastest(view, request, available, nowMs);
  const preferred = available.filter(({failureDomain}) => !avoided.has(failureDomain));
  if (preferred.length > 0) {
    const decision = chooseFastest(view, request, preferred, nowMs);
    if (decision.kind === 'chosen') return decision;
  }
  return chooseFastest(view, request, available, nowMs);
}

function refuse(errorKind: ErrorKind, reason: string): RoutingDecision {
  return {kind: 'refused', errorKind, reason};
}

function drawVersion(shares: readonly ServiceVersion[], random: () => number): string | undefined {
  const totalPercent = shares.reduce((sum, {sharePercent}) => sum + sharePercent, 0);
  let drawnPercent = random() * totalPercent;
  for (const {name, sharePercent} of shares) {
    drawnPercent -= sharePercent;
    if (drawnPercent < 0) return name;
  }
  return shares.at(-1)?.name;
}

function hasCapacity(view: RoutingView, service: Service, server: BackendServer): boolean {
  const {entries, ownInstanceId, getConcurrencyLimit} = view;
  const limit = getConcurrencyLimit
    ? getConcurrencyLimit(server, service)
    : getWarmthLimit({server, service, entries, ownInstanceId});
  return view.getOpenRequests(server.instanceId) < limit;
}

function chooseFastest(
  view: RoutingView,
  request: RoutingRequest,
  servers: readonly BackendServer[],
  nowMs: number,
): RoutingDecision {
  const [best] = servers
    .map(server => ({server, expectedFirstTokenMs: predictFirstTokenMs(view, request, server)}))
    .sort((a, b) => a.expectedFirstTokenMs - b.expectedFirstTokenMs);
  if (nowMs + best.expectedFirstTokenMs > request.deadlineAtMs) {
    const lateMs = Math.ceil(nowMs + best.expectedFirstTokenMs - request.deadlineAtMs);
    return refuse(
      'deadline-unreachable',
      `first token is expected ${lateMs} ms after the deadline`,
    );
  }
  return {kind: 'chosen', ...best};
}

function predictFirstTokenMs(
  view: RoutingView,
  request: RoutingRequest,
  server: BackendServer,
): number {
  const cachedTokens = view.getCachedTokens(server.instanceId, request.blockHashes);
  return getExpectedFirstTokenMs({
    server,
    ownFailureDomain: view.ownFailureDomain,
    openRequests: view.getOpenRequests(server.instanceId),
    pendingPrefillTokens: view.getPendingPrefillTokens?.(server.instanceId) ?? 0,
    uncachedTokens: Math.max(0, request.promptTokens - cachedTokens),
  });
}
