/** A completion as it was accepted, and how it ended. */
import type {RequestClass, Service} from '../configuration/index.js';
import type {CompletionBody, EngineUsage} from '../engine/index.js';

/** A completion that was accepted, from a caller or from another entry. */
export interface AcceptedCompletion {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: Service;
  readonly requestClass: RequestClass;
  readonly completion: CompletionBody;
  readonly path: string;
  /** Body as the caller sent it. */
  readonly body: Buffer;
  readonly fingerprint: string;
  readonly promptTokens: number;
  readonly blockHashes: readonly string[];
  readonly deadlineAtMs: number;
  /** Tokens that another entry has already passed on. */
  readonly passedTokens: readonly string[];
  /** Aborted when the caller has gone, or the request was handed over. */
  readonly signal: AbortSignal;
}

/** How a completion ended. */
export interface CompletionResult {
  readonly finishReason: string;
  readonly usage: EngineUsage;
  readonly tokens: readonly string[];
}

/** How a run ended: here with an answer, or at another entry, where the caller goes on. */
export type CompletionEnd =
  | {readonly kind: 'answered'; readonly result: CompletionResult}
  | {readonly kind: 'moved'; readonly location: string};
