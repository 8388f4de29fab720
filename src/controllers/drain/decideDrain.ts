/** Decides how running requests leave a backend server or an entry that stops. */
import type {BackendServer, FailureDomainStatus} from '../../blackboard/index.js';

/** How a running try leaves its backend server. */
export type DrainDecision =
  /** It goes on where it is. */
  | {readonly kind: 'stay'}
  /** Its KV cache is taken to another backend server. */
  | {readonly kind: 'move-cache'}
  /** Prompt and passed tokens are sent to another backend server. */
  | {readonly kind: 'replay'};

/** What the decision depends on. */
export interface DrainView {
  readonly server: BackendServer;
  readonly failureDomains: readonly FailureDomainStatus[];
  readonly promptTokens: number;
  readonly passedTokens: number;
  /** Tokens that the answer may still have; undefined where the caller named no limit. */
  readonly remainingTokens: number | undefined;
  readonly interTokenMs: number;
  readonly prefillTokensPerSecond: number;
  /** Rate at which KV cache moves between backend servers, in tokens; 0 where it can't. */
  readonly cacheTokensPerSecond: number;
}

/** Time left before the end of a notice for a try that starts elsewhere. */
const NOTICE_MARGIN_MS = 1_000;
/** Time that an export and an import cost beyond the transfer. */
const CACHE_MOVE_OVERHEAD_MS = 20;
const MS_PER_SECOND = 1_000;

/**
 * Decides about one running try.
 *
 * A try stays where it surely ends before the notice does. Else it moves at once: waiting gains nothing, since each token
 * more is a token more to replay.
 * @param view - The try and its backend server.
 * @param nowMs - Present time.
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

/** A running request of an entry that stops. */
export interface OpenRequestView {
  readonly requestId: string;
  readonly isIdempotent: boolean;
  readonly remainingTokens: number | undefined;
  readonly interTokenMs: number;
}

/**
 * Returns the requests that an entry hands to a peer now.
 *
 * What ends before the margin stays. A request that is not idempotent always stays: the peer could not tell whether it ran.
 * @param requests - Open requests.
 * @param leavingAtMs - Instant at which the entry is gone.
 * @param nowMs - Present time.
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

/** Time in which a handover and the end of the answer towards the caller fit. */
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
