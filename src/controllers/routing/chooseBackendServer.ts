/** Chooses the backend server of a request by its expected time to the first token. */
import type {BackendServer} from '../../blackboard/index.js';
import type {Service, ServiceVersion} from '../../configuration/index.js';
import type {ErrorKind} from '../../errors/index.js';
import {getWarmthLimit} from '../warmth/index.js';
import {getExpectedFirstTokenMs} from './firstTokenTime.js';
import type {RoutingDecision, RoutingRequest, RoutingView} from './RoutingTypes.js';
import {getAllowedServers} from './allowedServers.js';
import {getPassedOverDomains} from './passedOverDomains.js';
import {getUsableVersions} from './usableVersions.js';

/**
 * Chooses a backend server for a request.
 *
 * The version is drawn by its share first, so that a version gets no more than its share when the others are busy. A
 * failure domain that returns is offered to its percentage of the requests, and to others where nothing else has a place.
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
  const live = getAllowedServers(view, service.name, nowMs);
  const shares = getUsableVersions(service, view.moves, view.incidents, nowMs);
  const versions = shares.filter(({name}) => live.some(({version}) => version === name));
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
  return chooseOffered(view, request, free, nowMs);
}

/** Passes failure domains over where the other servers can do; they are used rather than refusing the request. */
function chooseOffered(
  view: RoutingView,
  request: RoutingRequest,
  free: readonly BackendServer[],
  nowMs: number,
): RoutingDecision {
  const passedOver = getPassedOverDomains(view.failureDomains, request, nowMs);
  if (passedOver.size === 0) return chooseFastest(view, request, free, nowMs);
  const offered = free.filter(({failureDomain}) => !passedOver.has(failureDomain));
  if (offered.length > 0) {
    const decision = chooseFastest(view, request, offered, nowMs);
    if (decision.kind === 'chosen') return decision;
  }
  return chooseFastest(view, request, free, nowMs);
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

function hasFreeSlot(view: RoutingView, service: Service, server: BackendServer): boolean {
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
    pendingPrefillTokens: view.getPendingPrefillTokens?.(server.instanceId) ?? 0,
    uncachedTokens: Math.max(0, request.promptTokens - cachedTokens),
  });
}
