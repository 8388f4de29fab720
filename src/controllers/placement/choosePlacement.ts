/** Placement policy: the backend server with the lowest predicted latency, given its load and its likely cache. */
import type {KnownServer} from '../../catalog/index.js';
import {chooseBySpeed} from './chooseBySpeed.js';
import {
  getAvailability,
  type AvailabilityView,
  type ServerAvailability,
} from './getAvailability.js';
import type {PlacementDecision, PlacementRequest, PlacementView} from './PlacementTypes.js';
import {findPreferredServer, getUncachedTokens} from './prefixAffinity.js';
import {
  ASSUMED_PROMPT_TOKENS_PER_MS,
  ENGINE_QUEUEING_MS,
  FAILURE_PENALTY_MS,
  PLAIN_QUEUEING_MS,
  RUNNING_REQUEST_MS,
} from './scoreConstants.js';

/** Upper bound of the random part of a score, which keeps gateways with the same view from choosing the same server. */
const JITTER_MS = 4;

/** Share of a pause over which the retries of callers are spread. */
const RETURN_SPREAD = 0.3;

/** A server that may get the request. */
interface Candidate {
  readonly server: KnownServer;
  readonly uncachedTokens: number;
  readonly expectedWaitMs: number;
}

/**
 * Chooses the backend server with the lowest score among those not attempted yet that may get a request now; servers in
 * backoff are used only if there is no healthy one.
 * @param random - Returns a uniform random number in [0, 1).
 */
export function choosePlacement(
  view: PlacementView,
  request: PlacementRequest,
  random: () => number,
): PlacementDecision {
  if (view.servers.length === 0) return {kind: 'none', reason: 'no-server'};
  const isUntried = ({entry}: KnownServer) => !request.attemptedServerIds.has(entry.id);
  const {speeds} = view;
  if (speeds) {
    const isUsable = (server: KnownServer) =>
      isUntried(server) && getAvailability(view, server) === 'available';
    const chosen = chooseBySpeed(view, speeds, request, {servers: view.servers, isUsable}, random);
    if (chosen) return chosen;
  }
  const untried = view.servers.filter(isUntried);
  if (untried.length === 0) return {kind: 'none', reason: 'all-tried'};
  const byAvailability = groupByAvailability(view, untried);
  const candidates = byAvailability.get('available') ?? byAvailability.get('backoff');
  if (!candidates) return explainNone(view, byAvailability, random);
  // None of the sampled servers was available.
  const chosen =
    speeds &&
    chooseBySpeed(view, speeds, request, {servers: candidates, isUsable: () => true}, random);
  return chosen ?? chooseByLoad(view, request, candidates, random);
}

/** Chooses the server with the lowest score if the speeds of the servers aren't known. */
function chooseByLoad(
  view: PlacementView,
  request: PlacementRequest,
  servers: readonly KnownServer[],
  random: () => number,
): PlacementDecision {
  const lastShared = request.promptParts.at(-2);
  const preferred = lastShared && findPreferredServer(servers, lastShared.id);
  const [best] = servers
    .map(server => estimateCandidate(view, request, server, server === preferred))
    .map(candidate => ({candidate, scoreMs: getScoreMs(view, candidate, random)}))
    .sort((a, b) => a.scoreMs - b.scoreMs);
  const {candidate} = best;
  const expectedFirstEventMs =
    candidate.expectedWaitMs + candidate.uncachedTokens / ASSUMED_PROMPT_TOKENS_PER_MS;
  return {kind: 'chosen', ...candidate, expectedFirstEventMs};
}

function groupByAvailability(
  view: AvailabilityView,
  servers: readonly KnownServer[],
): ReadonlyMap<ServerAvailability, readonly KnownServer[]> {
  const groups = new Map<ServerAvailability, KnownServer[]>();
  for (const server of servers) {
    const availability = getAvailability(view, server);
    const group = groups.get(availability);
    if (group) group.push(server);
    else groups.set(availability, [server]);
  }
  return groups;
}

/** Says why no server may get the request; callers of paused servers come back spread over some time. */
function explainNone(
  view: AvailabilityView,
  byAvailability: ReadonlyMap<ServerAvailability, readonly KnownServer[]>,
  random: () => number,
): PlacementDecision {
  if (byAvailability.has('limited')) return {kind: 'none', reason: 'limited'};
  if (byAvailability.has('cold')) return {kind: 'none', reason: 'cold'};
  const pausesMs = (byAvailability.get('paused') ?? []).map(server => view.getPauseMs(server));
  const retryAfterMs = Math.min(...pausesMs) * (1 + random() * RETURN_SPREAD);
  return {kind: 'none', reason: 'paused', retryAfterMs};
}

function getScoreMs(
  view: PlacementView,
  {server, expectedWaitMs, uncachedTokens}: Candidate,
  random: () => number,
): number {
  const failureMs = view.getFailureRate(server.entry.id) * FAILURE_PENALTY_MS;
  return (
    expectedWaitMs +
    uncachedTokens / ASSUMED_PROMPT_TOKENS_PER_MS +
    failureMs +
    random() * JITTER_MS
  );
}

function estimateCandidate(
  view: PlacementView,
  {promptParts}: PlacementRequest,
  server: KnownServer,
  isPreferred: boolean,
): Candidate {
  const {openRequests, pendingPromptTokens} = view.getLoad(server.entry.id);
  const queuedRequests = Math.max(0, openRequests + 1 - server.entry.slots);
  if (promptParts.length === 0) {
    const expectedWaitMs = queuedRequests * PLAIN_QUEUEING_MS + openRequests * RUNNING_REQUEST_MS;
    return {server, uncachedTokens: 0, expectedWaitMs};
  }
  const uncachedTokens = getUncachedTokens(promptParts, isPreferred);
  const expectedWaitMs =
    pendingPromptTokens / ASSUMED_PROMPT_TOKENS_PER_MS +
    openRequests * RUNNING_REQUEST_MS +
    queuedRequests * ENGINE_QUEUEING_MS;
  return {server, uncachedTokens, expectedWaitMs};
}
