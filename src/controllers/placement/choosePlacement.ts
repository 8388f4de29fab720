/** Placement policy: the backend server with the lowest predicted latency, given its load and its likely cache. */
import type {KnownServer} from '../../catalog/index.js';
import {rankByRendezvous} from '../../utils/index.js';
import type {ServerLoad} from './ServerLoads.js';
import {
  getAvailability,
  type AvailabilityView,
  type ServerAvailability,
} from './getAvailability.js';

/** Segment of a prompt that may be in a backend server's prefix cache. */
export interface PromptPart {
  /** Id that the caller sets; equal in all prompts that share the segment. */
  readonly id: string;
  readonly tokens: number;
}

/** The properties of a request on which its placement depends. */
export interface PlacementRequest {
  /** Segments in order; the last one is not shared with other requests. Empty for requests without a prompt. */
  readonly promptParts: readonly PromptPart[];
  /** Ids of the backend servers of earlier attempts. */
  readonly attemptedServerIds: ReadonlySet<string>;
}

/** State of the backend servers, as this gateway sees it. */
export interface PlacementView extends AvailabilityView {
  /** Servers that may run the request. */
  readonly servers: readonly KnownServer[];
  /** Returns the load that all gateways put on a server. */
  getLoad(serverId: string): ServerLoad;
  /** Returns the failure rate of recent attempts, from 0 to 1. */
  getFailureRate(serverId: string): number;
}

/** The chosen backend server, or why none was chosen. */
export type PlacementDecision =
  | {
      readonly kind: 'chosen';
      readonly server: KnownServer;
      /** Prompt tokens that the server is expected to prefill. */
      readonly uncachedTokens: number;
      /** Predicted time until the server starts to run the request. */
      readonly expectedWaitMs: number;
    }
  /**
   * `all-tried`: all servers had an earlier attempt; `cold`, `limited`: some others are at their rate limit; `paused`: the
   * others want no requests for some time.
   */
  | {
      readonly kind: 'none';
      readonly reason: 'no-server' | 'all-tried' | 'cold' | 'limited' | 'paused';
      /** Time after which the first of the paused servers wants requests again; undefined for other reasons. */
      readonly retryAfterMs?: number;
    };

/** Assumed prefill speed of a model engine. */
const PROMPT_TOKENS_PER_MS = 100;
/** Delay that each open request adds to the first event of a new one. */
const RUNNING_REQUEST_MS = 2;
/** Score penalty at a failure rate of 1; it is proportional to the failure rate. */
const FAILURE_PENALTY_MS = 4_000;
/** Assumed queueing delay for each request beyond the slots of a plain server. */
const PLAIN_QUEUEING_MS = 80;
/** Assumed queueing delay for each request beyond the slots of a model engine. */
const ENGINE_QUEUEING_MS = 100;
/** Upper bound of the random part of a score, which keeps gateways with the same view from choosing the same server. */
const JITTER_MS = 4;

/** Part of a pause over which the callers' returns are spread. */
const RETURN_SPREAD = 0.3;

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
  const untried = view.servers.filter(({entry}) => !request.attemptedServerIds.has(entry.id));
  if (untried.length === 0) return {kind: 'none', reason: 'all-tried'};
  const byAvailability = groupByAvailability(view, untried);
  const candidates = byAvailability.get('available') ?? byAvailability.get('backoff');
  if (!candidates) return explainNone(view, byAvailability, random);
  const preferredIds = rankByCacheAffinity(candidates, request.promptParts);
  const [best] = candidates
    .map(server => estimateCandidate(view, request, server, preferredIds))
    .map(candidate => ({candidate, scoreMs: getScoreMs(view, candidate, random)}))
    .sort((a, b) => a.scoreMs - b.scoreMs);
  return {kind: 'chosen', ...best.candidate};
}

function groupByAvailability(
  view: PlacementView,
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
  view: PlacementView,
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
  return expectedWaitMs + uncachedTokens / PROMPT_TOKENS_PER_MS + failureMs + random() * JITTER_MS;
}

/**
 * Ranks the servers by rendezvous hashing of the prompt's shared segments. All gateways get the same order, so that a
 * shared segment is prefilled by one server only. Empty if the prompt has no shared segments.
 */
function rankByCacheAffinity(
  servers: readonly KnownServer[],
  parts: readonly PromptPart[],
): readonly string[] {
  const lastShared = parts.at(-2);
  if (!lastShared) return [];
  return rankByRendezvous(lastShared.id, servers, ({entry}) => entry.id).map(({entry}) => entry.id);
}

function estimateCandidate(
  view: PlacementView,
  {promptParts}: PlacementRequest,
  server: KnownServer,
  preferredIds: readonly string[],
): Candidate {
  const {openRequests, pendingPromptTokens} = view.getLoad(server.entry.id);
  const queuedRequests = Math.max(0, openRequests + 1 - server.entry.slots);
  if (promptParts.length === 0) {
    const expectedWaitMs = queuedRequests * PLAIN_QUEUEING_MS + openRequests * RUNNING_REQUEST_MS;
    return {server, uncachedTokens: 0, expectedWaitMs};
  }
  const uncachedTokens = getUncachedTokens(promptParts, preferredIds.indexOf(server.entry.id));
  const expectedWaitMs =
    pendingPromptTokens / PROMPT_TOKENS_PER_MS +
    openRequests * RUNNING_REQUEST_MS +
    queuedRequests * ENGINE_QUEUEING_MS;
  return {server, uncachedTokens, expectedWaitMs};
}

/**
 * Returns the prompt tokens that a server is expected to prefill. The first server of the ranking has most likely
 * cached all shared segments, the others only the first segment, which most prompts share.
 */
function getUncachedTokens(parts: readonly PromptPart[], rank: number): number {
  const total = parts.reduce((sum, {tokens}) => sum + tokens, 0);
  const ownTokens = parts.at(-1)?.tokens ?? 0;
  if (rank === 0) return ownTokens;
  return parts.length > 2 ? total - parts[0].tokens : total;
}
