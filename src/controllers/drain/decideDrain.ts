/** Decides how in-flight requests are moved away from a backend server or an entry that is about to stop. */
import type {BackendServer, FailureDomainStatus} from '../../blackboard/index.js';

/** What to do with an attempt whose backend server may be draining. */
export type DrainDecision =
  /** It finishes on its backend server. */
  | {readonly kind: 'stay'}
  /** Its KV cache is transferred to another backend server, which continues the attempt. */
  | {readonly kind: 'move-cache'}
  /**
   * Another backend server prefills the prompt and the tokens passed to the caller so far, and continues the attempt.
   */
  | {readonly kind: 'replay'};

/** Input of `decideDrain`: an attempt in progress and its backend server. */
export interface DrainView {
  readonly server: BackendServer;
  readonly failureDomains: readonly FailureDomainStatus[];
  readonly promptTokens: number;
  /** Generated tokens that have been passed to the caller. */
  readonly passedTokens: number;
  /** Upper limit of the tokens still to be generated; undefined if the request has no limit. */
  readonly remainingTokens: number | undefined;
  /** Time between two generated tokens. */
  readonly interTokenMs: number;
  /** Rate at which a backend server computes the prompt. */
  readonly prefillTokensPerSecond: number;
  /** Transfer rate of the KV cache between backend servers; 0 if it can't be transferred. */
  readonly cacheTokensPerSecond: number;
}

/** Time before the end of a notice by which an attempt must have finished or left its backend server. */
const NOTICE_MARGIN_MS = 1_000;
/** Time that export and import of a KV cache take in addition to the transfer. */
const CACHE_MOVE_OVERHEAD_MS = 20;
const MS_PER_SECOND = 1_000;

/**
 * Decides what to do with one attempt in progress.
 *
 * It stays if its backend server isn't draining, or if it certainly finishes before the notice ends. Otherwise it moves
 * at once: waiting has no advantage, since each further token would have to be replayed as well.
 * @param view - The attempt and its backend server.
 * @param nowMs - Current wall clock time in milliseconds.
 */
export function decideDrain(view: DrainView, nowMs: number): DrainDecision {
  const {server, failureDomains} = view;
  const isOut = failureDomains.some(
    ({name, state}) => name === server.failureDomain && state === 'out',
  );
  const isLeaving = server.state !== 'live' || server.leavingAtMs !== undefined;
  if (!isLeaving && !isOut) return {kind: 'stay'};
  const noticeMs =
    server.leavingAtMs === undefined ? Number.POSITIVE_INFINITY : server.leavingAtMs - nowMs;
  if (!isOut && endsWithin(view, noticeMs - NOTICE_MARGIN_MS)) return {kind: 'stay'};
  return hasCheaperCacheMove(view, noticeMs) ? {kind: 'move-cache'} : {kind: 'replay'};
}

/** An open request at an entry that is about to stop. */
export interface OpenRequestView {
  readonly requestId: string;
  readonly isIdempotent: boolean;
  /** Upper limit of the tokens still to be generated; undefined if the request has no limit. */
  readonly remainingTokens: number | undefined;
  /** Time between two generated tokens. */
  readonly interTokenMs: number;
}

/**
 * Returns the ids of the requests that a stopping entry hands over to a peer now.
 *
 * A request that finishes early enough before the stop stays. A request that isn't idempotent always stays, since the
 * peer couldn't determine whether it has run.
 * @param requests - Open requests of the entry.
 * @param leavingAtMs - Time at which the entry stops, by the clock of `nowMs`.
 * @param nowMs - Current time in milliseconds.
 */
export function getRequestsToHandOver(
  requests: readonly OpenRequestView[],
  leavingAtMs: number,
  nowMs: number,
): readonly string[] {
  const timeLeftMs = leavingAtMs - nowMs - HANDOVER_MARGIN_MS;
  return requests
    .filter(({isIdempotent}) => isIdempotent)
    .filter(request => !endsWithin(request, timeLeftMs))
    .map(({requestId}) => requestId);
}

/** Time needed before the stop to hand a request over and to end its response to the caller. */
const HANDOVER_MARGIN_MS = 2_000;

function endsWithin(
  {
    remainingTokens,
    interTokenMs,
  }: {readonly remainingTokens: number | undefined; readonly interTokenMs: number},
  timeLeftMs: number,
): boolean {
  return remainingTokens !== undefined && remainingTokens * interTokenMs <= timeLeftMs;
}

function hasCheaperCacheMove(view: DrainView, noticeMs: number): boolean {
  const {promptTokens, passedTokens, prefillTokensPerSecond, cacheTokensPerSecond} = view;
  if (cacheTokensPerSecond <= 0) return false;
  const tokens = promptTokens + passedTokens;
  const moveMs = CACHE_MOVE_OVERHEAD_MS + (tokens / cacheTokensPerSecond) * MS_PER_SECOND;
  const prefillMs = (tokens / Math.max(1, prefillTokensPerSecond)) * MS_PER_SECOND;
  return moveMs < prefillMs && moveMs < noticeMs - NOTICE_MARGIN_MS;
}
