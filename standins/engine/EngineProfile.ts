/** Speed and capacity of a simulated engine. */

/** Speed and capacity of an engine; durations and rates are those of a real engine, before `timeScale` is applied. */
export interface EngineProfile {
  readonly prefillTokensPerSecond: number;
  /** Maximum number of prompt tokens computed in one step. */
  readonly prefillChunkTokens: number;
  /** Duration of a decode step with one request. */
  readonly decodeStepMs: number;
  /** Duration that each further request adds to a decode step. */
  readonly decodeStepPerRequestMs: number;
  readonly maxBatchRequests: number;
  readonly cacheTokens: number;
  readonly kvBytesPerToken: number;
  readonly kvBytesPerSecond: number;
  /** Factor by which the steps of a cold engine take longer. */
  readonly coldSlowdownFactor: number;
  /** A cold engine crashes when it has more open requests than this. */
  readonly coldMaxRequests: number;
  /** Finished requests after which a cold engine becomes warm. */
  readonly warmAfterRequests: number;
  /** Speed of the stand-in relative to a real engine. */
  readonly timeScale: number;
}

/** Profile of a small engine, used unless settings override it. */
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
