/** Expected time to the first token of a request at a backend server. */
import type {BackendServer} from '../../blackboard/index.js';

/** Prefill rate of a backend server that has reported none. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;
/** Extra time of a backend server outside the entry's own failure domain. */
const REMOTE_DOMAIN_MS = 0.5;
/** Tokens that an engine prefills between two decode steps of its batch. */
const PREFILL_CHUNK_TOKENS = 512;
/** Time of a decode step of a backend server that has reported no rate. */
const DEFAULT_DECODE_STEP_MS = 20;
/** Time that each request in the batch adds to a decode step. */
const RUNNING_REQUEST_MS = 0.5;
const MS_PER_SECOND = 1_000;

/** What the expected time depends on. */
export interface FirstTokenView {
  readonly server: BackendServer;
  readonly ownFailureDomain: string;
  /** Requests that this entry has open at the server. */
  readonly openRequests: number;
  /** Uncached tokens of this entry's tries there that have had no first token. */
  readonly pendingPrefillTokens: number;
  /** Tokens of the prompt that aren't in the server's cache. */
  readonly uncachedTokens: number;
}

/**
 * Returns the expected time from sending a request to its first token: prefill of what isn't cached and of what waits
 * before it, the decode steps of the batch in between, and the distance.
 *
 * Load reports lag, so what this entry has sent since counts where it is more than what was reported.
 * @param view - The server and the request.
 */
export function getExpectedFirstTokenMs(view: FirstTokenView): number {
  const {server, uncachedTokens, pendingPrefillTokens} = view;
  const {load} = server;
  const tokensPerSecond = load?.prefillTokensPerSecond || DEFAULT_PREFILL_TOKENS_PER_SECOND;
  const waitingTokens = Math.max(pendingPrefillTokens, load?.queuedPrefillTokens ?? 0);
  const prefillTokens = uncachedTokens + waitingTokens;
  const distanceMs = server.failureDomain === view.ownFailureDomain ? 0 : REMOTE_DOMAIN_MS;
  return (
    (prefillTokens / tokensPerSecond) * MS_PER_SECOND +
    Math.max(1, Math.ceil(prefillTokens / PREFILL_CHUNK_TOKENS)) * getDecodeStepMs(view) +
    distanceMs
  );
}

function getDecodeStepMs({server: {load}, openRequests}: FirstTokenView): number {
  const runningRequests = Math.max(openRequests, load?.runningRequests ?? 0);
  if (runningRequests === 0) return 0;
  const stepMs = load?.decodeTokensPerSecond
    ? MS_PER_SECOND / load.decodeTokensPerSecond
    : DEFAULT_DECODE_STEP_MS;
  return stepMs + runningRequests * RUNNING_REQUEST_MS;
}
