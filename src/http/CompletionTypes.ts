/** An accepted completion, and how its run ended. */
import type {RequestClass, Service} from '../configuration/index.js';
import type {CompletionBody, EngineUsage} from '../engine/index.js';

/** A validated completion, received from a caller or handed over by another entry. */
export interface AcceptedCompletion {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: Service;
  readonly requestClass: RequestClass;
  readonly completion: CompletionBody;
  /** Path that the caller requested. */
  readonly path: string;
  /** Request body exactly as the caller sent it. */
  readonly body: Buffer;
  /** Identifies equal requests, for the quarantine of requests that crash backend servers. */
  readonly fingerprint: string;
  readonly promptTokens: number;
  /** Hashes of the prompt's token blocks, for finding servers that have cached a prefix of the prompt. */
  readonly blockHashes: readonly string[];
  readonly deadlineAtMs: number;
  /** Tokens that another entry sent to the caller before it handed the request over. */
  readonly passedTokens: readonly string[];
  /** Aborted when the caller disconnects; never aborted for a request that another entry handed over. */
  readonly signal: AbortSignal;
}

/** Result of a completed response. */
export interface CompletionResult {
  readonly finishReason: string;
  readonly usage: EngineUsage;
  /** All tokens of the response, including those of an entry that handed the request over. */
  readonly tokens: readonly string[];
}

/** How a run ended: with a result, or handed over to the entry at `location`, where the caller continues. */
export type CompletionEnd =
  | {readonly kind: 'answered'; readonly result: CompletionResult}
  | {readonly kind: 'moved'; readonly location: string};
