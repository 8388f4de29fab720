/** Cost model of one step of continuous batching: prompt tokens computed, and duration. */
import type {EngineProfile} from './EngineProfile.js';

/** Prefill progress of a request in the batch. */
export interface BatchEntry {
  prefillTokensLeft: number;
  readonly isPrefilled: boolean;
}

const MS_PER_SECOND = 1_000;

/**
 * Prefills one chunk of prompt tokens, in batch order; returns the number of tokens computed.
 * @param batch - Running requests; their `prefillTokensLeft` is reduced.
 */
export function prefillChunk(
  batch: readonly BatchEntry[],
  {prefillChunkTokens}: EngineProfile,
): number {
  let budgetTokens = prefillChunkTokens;
  for (const entry of batch) {
    const tokens = Math.min(entry.prefillTokensLeft, budgetTokens);
    entry.prefillTokensLeft -= tokens;
    budgetTokens -= tokens;
    if (budgetTokens === 0) break;
  }
  return prefillChunkTokens - budgetTokens;
}

/**
 * Returns the duration of a step in milliseconds, divided by the profile's `timeScale`.
 * @param prefillTokens - Prompt tokens that the step computes.
 * @param slowdownFactor - Factor by which the step takes longer than on a warm engine.
 */
export function getStepDurationMs(
  batch: readonly BatchEntry[],
  prefillTokens: number,
  profile: EngineProfile,
  slowdownFactor: number,
): number {
  const {prefillTokensPerSecond, decodeStepMs, decodeStepPerRequestMs, timeScale} = profile;
  const decoding = batch.filter(({isPrefilled}) => isPrefilled).length;
  const prefillMs = (prefillTokens / prefillTokensPerSecond) * MS_PER_SECOND;
  const decodeMs = decoding > 0 ? decodeStepMs + decodeStepPerRequestMs * (decoding - 1) : 0;
  return ((prefillMs + decodeMs) * slowdownFactor) / timeScale;
}
