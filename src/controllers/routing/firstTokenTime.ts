/** Latency model: the predicted time to the first token of a request at a backend server. */
import type {BackendServer} from '../../blackboard/index.js';

/** Assumed prefill rate of a backend server that hasn't reported its own. */
const DEFAULT_PREFILL_TOKENS_PER_SECOND = 4_000;
/** Added network latency of a backend server in another failure domain than the entry. */
const REMOTE_DOMAIN_MS = 0.5;
/** Tokens that an engine prefills between two decode steps of its batch. */
const PREFILL_CHUNK_TOKENS = 512;
/** Assumed time of a decode step on a backend server that hasn't reported its decode rate. */
const DEFAULT_DECODE_STEP_MS = 20;
/** Time that each request in the batch adds to a decode step. */
const RUNNING_REQUEST_MS = 0.5;
const MS_PER_SECOND = 1_000;

/** A backend server and the load that this entry puts on it. */
export interface FirstTokenView {
  readonly server: BackendServer;
  readonly ownFailureDomain: string;
  /** Requests that this entry has open at the server. */
  readonly openRequests: number;
  /** Uncached prompt tokens of this entry's attempts there without a first token yet. */
  readonly pendingPrefillTokens: number;
  /** Prompt tokens of the request that aren't in the server's cache. */
  readonly uncachedTokens: number;
}

/**
 * Returns the predicted time from sending a request to its first token. It is the sum of the time to prefill the
 * uncached and the queued tokens, the decode steps that the engine runs between the prefill chunks, and the network
 * latency.
 *
 * Load reports lag, so the load that this entry has sent itself is used instead if it is higher than the reported one.
 */
export function getExpectedFirstTokenMs(view: FirstTokenView): number {
  const {server, uncachedTokens, pendingPrefillTokens} = view;
  const {load} = server;
  const tokensPerSecond = load?.prefillTokensPerSecond || DEFAULT_PREFILL_TOKENS_PER_SECOND;
  const queuedTokens = Math.max(pendingPrefillTokens, load?.queuedPrefillTokens ?? 0);
  const prefillTokens = uncachedTokens + queuedTokens;
  const networkMs = server.failureDomain === view.ownFailureDomain ? 0 : REMOTE_DOMAIN_MS;
  return (
    (prefillTokens / tokensPerSecond) * MS_PER_SECOND +
    Math.max(1, Math.ceil(prefillTokens / PREFILL_CHUNK_TOKENS)) * getDecodeStepMs(view) +
    networkMs
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
