/** How fast an engine is and how much it bears. */

/** Speed and limits of an engine; times are those of the real engine before scaling. */
export interface EngineProfile {
  readonly prefillTokensPerSecond: number;
  /** Prompt tokens computed in one step at most. */
  readonly prefillChunkTokens: number;
  /** Time of a decode step with one request. */
  readonly decodeStepMs: number;
  /** Time that each further request adds to a decode step. */
  readonly decodeStepPerRequestMs: number;
  readonly maxBatchRequests: number;
  readonly cacheTokens: number;
  readonly kvBytesPerToken: number;
  readonly kvBytesPerSecond: number;
  /** How much slower each step of a cold engine is. */
  readonly coldSlowdownFactor: number;
  /** Open requests over which a cold engine crashes. */
  readonly coldMaxRequests: number;
  /** Finished requests after which a cold engine is warm. */
  readonly warmAfterRequests: number;
  /** How many times faster than the real engine the stand-in runs. */
  readonly timeScale: number;
}

/** A small engine. */
export const DEFAULT_ENGINE_PROFILE: EngineProfile = {
  prefillTokensPerSecond: 8_000,
  prefillChunkTokens: 512,
  decodeStepMs: 20,
  decodeStepPerRequestMs: 0.5,
  maxBatchRequests: 32,
  cacheTokens: 65_536,
  kvBytesPerToken: 131_072,
  kvBytesPerSecond: 2_000_000_000,
  coldSlowdownFactor: 4,
  coldMaxRequests: 4,
  warmAfterRequests: 8,
  timeScale: 1,
};
