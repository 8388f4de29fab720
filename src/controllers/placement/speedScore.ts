/** Score of a placement on a server of known speed, in milliseconds to the first event. */
import type {KnownServer} from '../../catalog/index.js';
import type {PlacementRequest, PlacementTargets, PlacementView} from './PlacementTypes.js';
import {getUncachedTokens} from './prefixAffinity.js';
import {
  ENGINE_QUEUEING_MS,
  FAILURE_PENALTY_MS,
  PLAIN_QUEUEING_MS,
  RUNNING_REQUEST_MS,
} from './scoreConstants.js';
import type {SpeedView} from './ServerSpeeds.js';

/** Share of the target from which a request is likely to miss it: expectations are a few hundred ms old. */
const LATE_FROM_TARGET_SHARE = 0.7;
/** Milliseconds that each expected millisecond beyond that share costs additionally. */
const LATE_COST = 3;
/**
 * Requests that will come to a server while a prompt is prefilled there are delayed like those that are open now, but
 * this gateway knows neither their number nor their time.
 */
const EXPECTED_ARRIVALS = 1;
/** Cost of a millisecond by which another request is delayed, if the delay is as long as its target. */
const OTHERS_COST = 0.03;

/** A server that may get the request, and what is expected of it. */
export interface SpeedCandidate {
  readonly server: KnownServer;
  readonly uncachedTokens: number;
  readonly expectedWaitMs: number;
  readonly expectedFirstEventMs: number;
  readonly workFactor: number;
  readonly scoreMs: number;
}

/** Returns the expectations and the score of a server, without a random part. */
export function scoreBySpeed(
  view: PlacementView,
  speeds: SpeedView,
  {promptParts, targets}: PlacementRequest,
  server: KnownServer,
  isPreferred: boolean,
): SpeedCandidate {
  const {id, slots} = server.entry;
  const {openRequests, pendingPromptTokens} = view.getLoad(id);
  const workFactor = speeds.getFactor(server.entry);
  const isPlain = promptParts.length === 0;
  const queued = Math.max(0, openRequests + 1 - slots);
  const queueMs = queued * getQueueingMs(speeds, isPlain, slots);
  const runningMs = openRequests * RUNNING_REQUEST_MS;
  const uncachedTokens = isPlain ? 0 : getUncachedTokens(promptParts, isPreferred);
  const pendingTokens = isPlain ? 0 : speeds.expectPendingTokens(server.entry, pendingPromptTokens);
  const expectedWaitMs =
    workFactor * (queueMs + runningMs + pendingTokens / speeds.promptTokensPerMs);
  const ownMs = isPlain ? (speeds.plainMs ?? 0) : uncachedTokens / speeds.promptTokensPerMs;
  const expectedFirstEventMs = expectedWaitMs + ownMs * workFactor;
  const scoreMs =
    expectedFirstEventMs +
    view.getFailureRate(id) * FAILURE_PENALTY_MS +
    getLatenessMs(expectedFirstEventMs, targets) +
    (isPlain ? 0 : getCostToOthersMs(ownMs * workFactor, openRequests, targets));
  return {server, uncachedTokens, expectedWaitMs, expectedFirstEventMs, workFactor, scoreMs};
}

/** Returns the time after which the next of a full server's requests ends, at a work factor of 1. */
function getQueueingMs({plainMs, requestMs}: SpeedView, isPlain: boolean, slots: number): number {
  const durationMs = isPlain ? plainMs : requestMs;
  if (durationMs === undefined) return isPlain ? PLAIN_QUEUEING_MS : ENGINE_QUEUEING_MS;
  return durationMs / Math.max(1, slots);
}

/** Returns the cost of probably missing the target, which grows more steeply than the time itself. */
function getLatenessMs(expectedMs: number, targets: PlacementTargets | undefined): number {
  if (!targets || targets.latencyTargetMs <= 0) return 0;
  const lateMs = expectedMs - targets.latencyTargetMs * LATE_FROM_TARGET_SHARE;
  return Math.max(0, lateMs) * LATE_COST;
}

/**
 * Returns what a prefill costs the other requests at the server. It delays the events of those that are open and the
 * first events of those that come meanwhile; the delay costs more the closer it is to their targets.
 */
function getCostToOthersMs(
  prefillMs: number,
  openRequests: number,
  targets: PlacementTargets | undefined,
): number {
  if (!targets) return 0;
  const firstEventShare = getShare(prefillMs, targets.shortestTargetMs);
  const pauseShare = getShare(prefillMs, targets.shortestPauseMs);
  const shares = EXPECTED_ARRIVALS * firstEventShare + openRequests * pauseShare;
  return prefillMs * shares * OTHERS_COST;
}

function getShare(durationMs: number, targetMs: number): number {
  return targetMs > 0 ? durationMs / targetMs : 0;
}
