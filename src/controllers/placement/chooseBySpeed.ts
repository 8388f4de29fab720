/** Choice among servers of known speed: the best of a random sample, so that gateways with the same view differ. */
import type {KnownServer} from '../../catalog/index.js';
import type {PlacementDecision, PlacementRequest, PlacementView} from './PlacementTypes.js';
import {findUsablePreferredServer} from './prefixAffinity.js';
import type {SpeedView} from './ServerSpeeds.js';
import {scoreBySpeed, type SpeedCandidate} from './speedScore.js';

/**
 * Servers that are compared. Reports of load are a few hundred milliseconds old, so that a choice among all servers
 * would send the requests of all gateways to the same few until the next reports.
 */
const SAMPLE_SIZE = 6;
/** Scores that differ less than this are about equally good; the random part of a score has this mean. */
const SCORE_SPREAD_MS = 8;

/** Servers from which one is chosen. */
export interface ServerChoice {
  readonly servers: readonly KnownServer[];
  readonly isUsable: (server: KnownServer) => boolean;
}

/**
 * Chooses among a sample of the servers and the one that has probably cached the shared segments; undefined if none of
 * these is usable.
 * @param random - Returns a uniform random number in [0, 1).
 */
export function chooseBySpeed(
  view: PlacementView,
  speeds: SpeedView,
  request: PlacementRequest,
  {servers, isUsable}: ServerChoice,
  random: () => number,
): Extract<PlacementDecision, {kind: 'chosen'}> | undefined {
  const lastShared = request.promptParts.at(-2);
  const preferred = lastShared && findUsablePreferredServer(servers, lastShared.id, isUsable);
  let best: SpeedCandidate | undefined;
  let bestScoreMs = Infinity;
  const compare = (server: KnownServer) => {
    const candidate = scoreBySpeed(view, speeds, request, server, server === preferred);
    const scoreMs = candidate.scoreMs + getSpreadMs(candidate.workFactor, random);
    if (scoreMs >= bestScoreMs) return;
    best = candidate;
    bestScoreMs = scoreMs;
  };
  if (preferred) compare(preferred);
  const sampled = sample(servers, random);
  for (const server of sampled) if (server !== preferred && isUsable(server)) compare(server);
  if (!best) return undefined;
  const {server, uncachedTokens, expectedWaitMs, expectedFirstEventMs, workFactor} = best;
  return {kind: 'chosen', server, uncachedTokens, expectedWaitMs, expectedFirstEventMs, workFactor};
}

/** Returns one random server of each of several equal parts of the list, or all if there are few. */
function sample(servers: readonly KnownServer[], random: () => number): readonly KnownServer[] {
  if (servers.length <= SAMPLE_SIZE) return servers;
  const partSize = servers.length / SAMPLE_SIZE;
  return Array.from(
    {length: SAMPLE_SIZE},
    (_, part) => servers[Math.floor((part + random()) * partSize)],
  );
}

/**
 * Returns the random part of a score. With an exponential distribution whose mean is proportional to the work factor,
 * servers with the same score are chosen in proportion to their speeds.
 */
function getSpreadMs(workFactor: number, random: () => number): number {
  return -Math.log(1 - random()) * SCORE_SPREAD_MS * workFactor;
}
