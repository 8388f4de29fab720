/** Chooses the backend server of a request: by expected wait, with what it is likely to have cached taken off. */
import type {KnownServer} from '../../catalog/index.js';
import {rankByRendezvous} from '../../utils/index.js';
import type {ServerLoad} from './ServerLoads.js';

/** Part of a prompt that may be in a backend server's cache. */
export interface PromptPart {
  readonly id: string;
  readonly tokens: number;
}

/** What is known of a request when its backend server is chosen. */
export interface PlacementRequest {
  /** Parts in order; the last one belongs to the request itself. Empty for requests without a prompt. */
  readonly promptParts: readonly PromptPart[];
  /** Ids of backend servers that earlier tries used. */
  readonly triedIds: ReadonlySet<string>;
}

/** What placement reads. */
export interface PlacementView {
  readonly servers: readonly KnownServer[];
  getLoad(serverId: string): ServerLoad;
  getFailureShare(serverId: string): number;
  isAvoided(serverId: string): boolean;
  /** Whether a cold server takes one more request from this gateway. */
  hasColdRoom(server: KnownServer): boolean;
}

/** The chosen backend server, or why there is none. */
export type PlacementDecision =
  | {
      readonly kind: 'chosen';
      readonly server: KnownServer;
      /** Prompt tokens that the server is expected to read. */
      readonly uncachedTokens: number;
      /** Expected time until the request runs. */
      readonly expectedWaitMs: number;
    }
  | {readonly kind: 'none'; readonly reason: 'no-server' | 'all-tried' | 'cold' | 'full'};

/** Tokens that a model engine reads in a millisecond, until its own speed is known. */
const PROMPT_TOKENS_PER_MS = 100;
/** Time that a running request adds to the first event of another one. */
const RUNNING_REQUEST_MS = 2;
/** Extra time that stands for failing every request; a tenth of the failures costs a tenth of it. */
const FAILURE_PENALTY_MS = 4_000;
/** Time that stands for each request before a full plain server. */
const PLAIN_REQUEST_MS = 80;
/** Random part that keeps gateways with the same view from choosing alike. */
const JITTER_MS = 4;

interface Candidate {
  readonly server: KnownServer;
  readonly uncachedTokens: number;
  readonly expectedWaitMs: number;
}

/**
 * Chooses a backend server.
 * @param view - What is known of the backend servers.
 * @param request - The request.
 * @param random - Returns a number from 0 up to 1.
 */
export function choosePlacement(
  view: PlacementView,
  request: PlacementRequest,
  random: () => number,
): PlacementDecision {
  if (view.servers.length === 0) return {kind: 'none', reason: 'no-server'};
  const untried = view.servers.filter(({entry}) => !request.triedIds.has(entry.id));
  if (untried.length === 0) return {kind: 'none', reason: 'all-tried'};
  const open = untried.filter(server => view.hasColdRoom(server));
  if (open.length === 0) return {kind: 'none', reason: 'cold'};
  const sound = open.filter(({entry}) => !view.isAvoided(entry.id));
  const candidates = sound.length > 0 ? sound : open;
  const preferredIds = rankForCache(candidates, request.promptParts);
  const [best] = candidates
    .map(server => rate(view, request, server, preferredIds))
    .map(candidate => ({candidate, scoreMs: getScoreMs(view, candidate, random)}))
    .sort((a, b) => a.scoreMs - b.scoreMs);
  return {kind: 'chosen', ...best.candidate};
}

function getScoreMs(
  view: PlacementView,
  {server, expectedWaitMs, uncachedTokens}: Candidate,
  random: () => number,
): number {
  const failureMs = view.getFailureShare(server.entry.id) * FAILURE_PENALTY_MS;
  return expectedWaitMs + uncachedTokens / PROMPT_TOKENS_PER_MS + failureMs + random() * JITTER_MS;
}

/** All gateways rank the servers of a prompt alike, so that its shared parts are read once. */
function rankForCache(
  servers: readonly KnownServer[],
  parts: readonly PromptPart[],
): readonly string[] {
  const shared = parts.at(-2);
  if (!shared) return [];
  return rankByRendezvous(shared.id, servers, ({entry}) => entry.id).map(({entry}) => entry.id);
}

function rate(
  view: PlacementView,
  {promptParts}: PlacementRequest,
  server: KnownServer,
  preferredIds: readonly string[],
): Candidate {
  const {openRequests, pendingPromptTokens} = view.getLoad(server.entry.id);
  if (promptParts.length === 0) {
    const ahead = Math.max(0, openRequests + 1 - server.entry.slots);
    const expectedWaitMs = ahead * PLAIN_REQUEST_MS + openRequests * RUNNING_REQUEST_MS;
    return {server, uncachedTokens: 0, expectedWaitMs};
  }
  const uncachedTokens = getUncachedTokens(promptParts, preferredIds.indexOf(server.entry.id));
  const expectedWaitMs =
    pendingPromptTokens / PROMPT_TOKENS_PER_MS + openRequests * RUNNING_REQUEST_MS;
  return {server, uncachedTokens, expectedWaitMs};
}

/** The first server in the order has most likely read all shared parts, the others the most common first part only. */
function getUncachedTokens(parts: readonly PromptPart[], rank: number): number {
  const total = parts.reduce((sum, {tokens}) => sum + tokens, 0);
  const own = parts.at(-1)?.tokens ?? 0;
  if (rank === 0) return own;
  return parts.length > 2 ? total - parts[0].tokens : total;
}
