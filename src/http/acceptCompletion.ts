/** Builds an accepted completion from what a caller or another entry sent. */
import type {RequestClass, Service} from '../configuration/index.js';
import {getFingerprint} from '../controllers/quarantine/index.js';
import {getPromptText, type CompletionBody} from '../engine/index.js';
import {hashBlocks, splitTokens} from '../utils/index.js';
import type {AcceptedCompletion} from './CompletionTypes.js';

/** What an accepted completion is built from. */
export interface AcceptedParts {
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

/**
 * Returns the accepted completion.
 * @param parts - What was sent.
 */
export function createAccepted(parts: AcceptedParts): AcceptedCompletion {
  const {workspace, path, body, completion} = parts;
  const tokens = splitTokens(getPromptText(completion));
  return {
    ...parts,
    fingerprint: getFingerprint({workspace, method: 'POST', path, body}),
    promptTokens: tokens.length,
    blockHashes: hashBlocks(tokens),
  };
}

/**
 * Returns the tokens of a prompt.
 * @param completion - The request.
 */
export function countPromptTokens(completion: CompletionBody): number {
  return splitTokens(getPromptText(completion)).length;
}
