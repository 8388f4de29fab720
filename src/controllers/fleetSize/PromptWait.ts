/** How long prompts wait for their first tokens, against the time that callers accept. */

/** Load of a service at one moment. */
export interface PromptWaitView {
  /** Prompt tokens of requests whose first event is still awaited. */
  readonly pendingPromptTokens: number;
  /** Prompt tokens per second that its servers are expected to prefill. */
  readonly promptTokensPerSecond: number;
  /** Target time to the first event; 0 if there is none. */
  readonly latencyTargetMs: number;
}

/** What the wait says about the number of servers. */
export type WaitPressure = 'too-few' | 'just-enough' | 'unknown-or-more';

/** Time constant of the moving average. */
const TIME_CONSTANT_MS = 2_500;
/** Mean wait, as a share of the target, above which many requests with longer waits miss the target. */
const TOO_FEW_SHARE = 0.6;
/** Mean wait, as a share of the target, that leaves no room for fewer servers. */
const JUST_ENOUGH_SHARE = 0.4;
const MS_PER_SECOND = 1_000;

/**
 * Moving average of the wait. By Little's law, the tokens that wait are the tokens that arrive in the time of a wait,
 * so the wait shows how loaded servers are whose speed isn't known.
 */
export class PromptWait {
  private share = 0;
  private updatedAtMs: number | undefined;

  /**
   * Adds the load of the present moment.
   * @param nowMs - Current monotonic time in milliseconds.
   */
  update(view: PromptWaitView, nowMs: number): WaitPressure {
    const weight = 1 - Math.exp(-(nowMs - (this.updatedAtMs ?? nowMs)) / TIME_CONSTANT_MS);
    this.updatedAtMs = nowMs;
    this.share += weight * (getWaitShare(view) - this.share);
    if (this.share > TOO_FEW_SHARE) return 'too-few';
    return this.share > JUST_ENOUGH_SHARE ? 'just-enough' : 'unknown-or-more';
  }
}

function getWaitShare(view: PromptWaitView): number {
  const {pendingPromptTokens, promptTokensPerSecond, latencyTargetMs} = view;
  if (promptTokensPerSecond <= 0 || latencyTargetMs <= 0) return 0;
  return (pendingPromptTokens / promptTokensPerSecond) * (MS_PER_SECOND / latencyTargetMs);
}
