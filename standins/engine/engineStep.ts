/** One step of continuous batching: how much is prefilled in it and how long it takes. */
import type {EngineProfile} from './EngineProfile.js';

/** A request in the batch. */
export interface BatchEntry {
  prefillTokensLeft: number;
  readonly isPrefilled: boolean;
}

const MS_PER_SECOND = 1_000;

/**
 * Takes the step's chunk of prompt tokens off the entries, the earlier ones first; returns the size of the chunk.
 * @param batch - Requests that run.
 * @param profile - The engine's speed.
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
 * Returns the duration of a step.
 * @param batch - Requests that run.
 * @param prefillTokens - Prompt tokens that the step reads.
 * @param profile - The engine's speed.
 * @param slowdownFactor - How much slower than warm the engine is.
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
