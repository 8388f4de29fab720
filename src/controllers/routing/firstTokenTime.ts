/** Expected time to the first token of a request at a backend server. */
import type {BackendServer} from '../../blackboard/index.js';

/** Prefill rate of a backend server that has reported none. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;
/** Extra time of a backend server outside the entry's own failure domain. */
const REMOTE_DOMAIN_MS = 0.5;
/** Time that each request in the batch adds to a step of the engine. */
const RUNNING_REQUEST_MS = 2;
/** Time that a request waits for one queued before it, beyond that one's prefill. */
const QUEUED_REQUEST_MS = 20;
const MS_PER_SECOND = 1_000;

/** What the expected time depends on. */
export interface FirstTokenView {
  readonly server: BackendServer;
  readonly ownFailureDomain: string;
  /** Requests that this entry has open at the server. */
  readonly openRequests: number;
  /** Tokens of the prompt that aren't in the server's cache. */
  readonly uncachedTokens: number;
}

/**
 * Returns the expected time from sending a request to its first token: prefill of what isn't cached, the queue before
 * it, and the distance.
 * @param view - The server and the request.
 */
export function getExpectedFirstTokenMs(view: FirstTokenView): number {
  const {server, openRequests, uncachedTokens} = view;
  const {load} = server;
  const tokensPerSecond = load?.prefillTokensPerSecond || DEFAULT_PREFILL_TOKENS_PER_SECOND;
  const prefillTokens = uncachedTokens + (load?.queuedPrefillTokens ?? 0);
  const queuedRequests = load?.queuedRequests ?? 0;
  const runningRequests = Math.max(openRequests, load?.runningRequests ?? 0);
  const distanceMs = server.failureDomain === view.ownFailureDomain ? 0 : REMOTE_DOMAIN_MS;
  return (
    (prefillTokens / tokensPerSecond) * MS_PER_SECOND +
    queuedRequests * QUEUED_REQUEST_MS +
    runningRequests * RUNNING_REQUEST_MS +
    distanceMs
  );
}
