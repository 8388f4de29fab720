/**
 * Derives the prompt tokens, block hashes and fingerprint of a completion, from a caller or handed over by another
 * entry.
 */
import type {RequestClass, Service} from '../configuration/index.js';
import {getFingerprint} from '../controllers/quarantine/index.js';
import {getPromptText, type CompletionBody} from '../engine/index.js';
import {hashBlocks, splitTokens} from '../utils/index.js';
import type {AcceptedCompletion} from './CompletionTypes.js';

/** Options of `createAcceptedCompletion`; the fields have the meaning of those of `AcceptedCompletion`. */
export interface AcceptedCompletionOptions {
  readonly requestId: string;
  readonly workspace: string;
  readonly service: Service;
  readonly requestClass: RequestClass;
  readonly completion: CompletionBody;
  readonly path: string;
  readonly body: Buffer;
  readonly deadlineAtMs: number;
  readonly passedTokens: readonly string[];
  readonly signal: AbortSignal;
}

/** Returns the accepted completion; tokenizes and hashes its prompt. */
export function createAcceptedCompletion(options: AcceptedCompletionOptions): AcceptedCompletion {
  const {workspace, path, body, completion} = options;
  const tokens = splitTokens(getPromptText(completion));
  return {
    ...options,
    fingerprint: getFingerprint({workspace, method: 'POST', path, body}),
    promptTokens: tokens.length,
    blockHashes: hashBlocks(tokens),
  };
}

/** Returns the number of prompt tokens of a completion. */
export function countPromptTokens(completion: CompletionBody): number {
  return splitTokens(getPromptText(completion)).length;
}
